#include <celeryquay/relay/feed_source.h>
#include <celeryquay/relay/server_list.h>

#include <celeryquay/base/log_event.h>

#include <string.h>
#include <xxhash.h>

/*
 * A fleet of up to this many proxies has no watchers: each proxy watches the
 * store itself. A watcher makes some 75 calls a minute to stay current, a proxy
 * on its own some 60.
 */
#define DIRECT_MAX_PROXIES 16
/*
 * A data centre has one watcher, and one more for each this many proxies. A
 * follower makes 1.4 calls a second. If the only watcher dies, those of other
 * data centres take over.
 */
#define PROXIES_PER_WATCHER 64
/* Sending a new value to all followers may fill a watcher's link this long. */
#define VALUE_SEND_MAX_MS 250
/* The limit where sending it from the store would take longer still. */
#define VALUE_SEND_MAX_LONG_MS 1000
#define BYTES_PER_MS_PER_MBPS 125
/* Assumed bandwidth of the store's link, which the store doesn't report. */
#define STORE_LINK_MBPS 1000
/* Values are sent in base64: four characters for three bytes. */
#define BASE64_CHARS 4
#define BASE64_BYTES 3
/*
 * How long a watch of the store waits if no other proxy relies on it. A longer
 * wait makes fewer calls. A change that is missed because the connection went
 * silent is found by the next call.
 */
#define WATCH_WAIT_MS 3400
#define WATCH_ANSWER_MS 400 /* until its answer arrives */
/*
 * Part of a maximum age that is not spent waiting: the store reports changes
 * late, changes are gathered, and two answers have to arrive.
 */
#define MAX_AGE_MARGIN_US (1800 * USEC_PER_MSEC)
/* A watcher's wait. Its followers accept an age of WATCHER_AGE_MAX_US. */
#define WATCHER_WAIT_MS 800
#define WATCHER_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* A follower's call to its watcher. */
#define FOLLOW_WAIT_MS 700
#define FOLLOW_TIMEOUT_US (1000 * USEC_PER_MSEC)
/* While the store is silent: the answer shows whether it is back. */
#define FOLLOW_SILENT_WAIT_MS 250
/*
 * Longest time of a whole call whose answer keeps arriving. Over a narrow link
 * an answer of the store takes seconds, and cutting it off means starting
 * again. A watcher is left sooner, since another one's link may be wider.
 */
#define FOLLOW_CALL_MAX_US (3 * USEC_PER_SEC)
#define STORE_CALL_MAX_US (20 * USEC_PER_SEC)
/* Reading everything from the store; a slow store answers within 0.3 s. */
#define READ_ALL_TIMEOUT_US (1000 * USEC_PER_MSEC)
/*
 * Polls of the store while it is silent. A poll does not wait for news. Its
 * timeout allows for a slow store; it is sent again before the timeout is over.
 */
#define POLL_WAIT_MS 1
#define POLL_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* A poll that reads everything has a larger answer, and links may be narrow. */
#define POLL_ALL_TIMEOUT_US (3 * USEC_PER_SEC)
#define POLL_REPEAT_MIN_MS 300
#define POLL_REPEAT_JITTER_MS 100
/*
 * Checks of the store by a proxy that has watchers to ask: the timeout of one,
 * and the bounds of the growing interval between two.
 */
#define CHECK_TIMEOUT_US (350 * USEC_PER_MSEC)
#define CHECK_INTERVAL_MIN_US (1 * USEC_PER_SEC)
#define CHECK_INTERVAL_MAX_US (4 * USEC_PER_SEC)
/*
 * Greatest age of a watcher's answer. With the 0.7 s that a call to it waits, a
 * watcher that is cut off from the store is left after 2.2 s; a change must be
 * in force within 3 s.
 */
#define WATCHER_AGE_MAX_US (1500 * USEC_PER_MSEC)
/*
 * While the store is silent, the next watcher is asked after this many answers:
 * a watcher gives the first one at once, the second one when there is news.
 */
#define ANSWERS_PER_WATCHER 2
/* A watcher that failed is not asked again for this long. */
#define FAULT_AVOID_US (10 * USEC_PER_SEC)
/*
 * After a watcher failed the store is asked for this long; after the store was
 * silent the watcher that reported its return is kept for this long.
 */
#define SWITCH_HOLD_US (1 * USEC_PER_SEC)

/* The fault of a watcher that is not asked for a while. */
struct fault {
	uint64_t until_us;
	bool answered; /* with old contents; false: it did not answer */
};

struct feed_source {
	char *name;
	char *zone;
	GPtrArray *proxies; /* struct relay_server_info, without this one */
	/* Borrowed from `proxies`; in this proxy's order of preference. */
	GPtrArray *watchers;
	GHashTable *faults; /* name -> struct fault */
	/* Until then the store is asked, not a watcher. */
	uint64_t store_until_us;
	uint64_t check_at_us; /* time of the next check of a silent store */
	/* Mean interval from that check to the one after it. */
	uint64_t check_interval_us;
	unsigned n_jitters; /* random delays drawn so far */
	/* Old answers of watchers since the store fell silent. */
	unsigned n_behind;
	/* The preferred watcher is not returned to before this time. */
	uint64_t switched_until_us;
	unsigned watch_ms; /* wait of a watch that no follower relies on */
	unsigned mbps; /* this proxy's bandwidth, as listed; 0: unknown */
	bool is_shared; /* the fleet is large enough to have watchers */
	bool is_watcher; /* this proxy watches the store for others */
	bool ask_store_once; /* ask the store for a value that no proxy sends */
	/* The store did not answer this proxy's last call. */
	bool is_store_silent;
	/* A watcher failed: check whether the store answers. */
	bool check_store;
};

static void free_info(gpointer info)
{
	relay_server_info_free(info);
}

/* Plans ask the store until there is a list of proxies. */
struct feed_source *feed_source_create(const char *name, const char *zone)
{
	struct feed_source *f = g_new0(struct feed_source, 1);

	f->watch_ms = WATCH_WAIT_MS;
	f->name = g_strdup(name);
	f->zone = g_strdup(zone);
	f->proxies = g_ptr_array_new_with_free_func(free_info);
	f->watchers = g_ptr_array_new();
	f->faults =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return f;
}

/* NULL is ignored. */
void feed_source_destroy(struct feed_source *f)
{
	if (!f)
		return;
	g_ptr_array_unref(f->watchers);
	g_ptr_array_unref(f->proxies);
	g_hash_table_destroy(f->faults);
	g_free(f->name);
	g_free(f->zone);
	g_free(f);
}

/*
 * A watch that ends without news confirms what was known when it was sent, less
 * the delay with which the store may report changes. When the next watch ends,
 * that moment is two waits ago.
 */
void feed_source_set_max_age(struct feed_source *f, uint64_t max_age_us)
{
	uint64_t waits_us = max_age_us - MIN(max_age_us, MAX_AGE_MARGIN_US);
	uint64_t wait_ms = MAX(waits_us / 2 / USEC_PER_MSEC, WATCHER_WAIT_MS);

	f->watch_ms = max_age_us ? (unsigned)MIN(wait_ms, WATCH_WAIT_MS) :
				   WATCH_WAIT_MS;
}

static uint64_t hash(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* A proxy that may watch for its data centre. */
struct candidate {
	const struct relay_server_info *info;
	uint64_t hash;
};

/*
 * Sorts by data centre, and in each by bandwidth, as the widest link serves the
 * most followers; among equals the hash decides.
 */
static gint by_zone_and_link(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;
	int zone = g_strcmp0(x->info->zone, y->info->zone);

	if (zone)
		return zone;
	if (x->info->capacity.mbps != y->info->capacity.mbps)
		return x->info->capacity.mbps > y->info->capacity.mbps ? -1 : 1;
	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return strcmp(x->info->id, y->info->id);
}

/* All proxies, this one included, best first in each data centre. */
static GArray *list_candidates(const struct feed_source *f,
			       const struct relay_server_info *self)
{
	GArray *list = g_array_sized_new(FALSE, FALSE, sizeof(struct candidate),
					 f->proxies->len + 1);
	struct candidate c = { .info = self, .hash = hash(self->id) };
	unsigned i;

	g_array_append_val(list, c);
	for (i = 0; i < f->proxies->len; i++) {
		c.info = g_ptr_array_index(f->proxies, i);
		c.hash = hash(c.info->id);
		g_array_append_val(list, c);
	}
	g_array_sort(list, by_zone_and_link);
	return list;
}

static const struct relay_server_info *candidate_at(const GArray *list,
						    unsigned i)
{
	return g_array_index(list, struct candidate, i).info;
}

/* Index at which the next data centre begins. */
static unsigned zone_end(const GArray *list, unsigned from)
{
	const char *zone = candidate_at(list, from)->zone;
	unsigned end = from + 1;

	while (end < list->len &&
	       !g_strcmp0(candidate_at(list, end)->zone, zone))
		end++;
	return end;
}

static void add_watcher(struct feed_source *f,
			const struct relay_server_info *info,
			const struct relay_server_info *self)
{
	if (info == self)
		f->is_watcher = true;
	else if (info->feed_port)
		g_ptr_array_add(f->watchers, (gpointer)info);
}

/* Makes the first few candidates of each data centre watchers. */
static void select_watchers(struct feed_source *f,
			    const struct relay_server_info *self)
{
	GArray *list = list_candidates(f, self);
	unsigned from, end, i, n;

	for (from = 0; from < list->len; from = end) {
		end = zone_end(list, from);
		n = 1 + (end - from) / PROXIES_PER_WATCHER;
		for (i = from; i < MIN(from + n, end); i++)
			add_watcher(f, candidate_at(list, i), self);
	}
	g_array_free(list, TRUE);
}

/*
 * Less is better: watchers in this proxy's data centre come first, then a hash
 * of both names, so that each proxy has its own order.
 */
static uint64_t preference(const struct feed_source *f,
			   const struct relay_server_info *p)
{
	uint64_t d = XXH3_64bits_withSeed(p->id, strlen(p->id), hash(f->name));

	d >>= 1;
	return g_strcmp0(p->zone, f->zone) ? d | UINT64_C(1) << 63 : d;
}

static gint by_preference(gconstpointer a, gconstpointer b, gpointer source)
{
	uint64_t x = preference(source, *(struct relay_server_info *const *)a);
	uint64_t y = preference(source, *(struct relay_server_info *const *)b);

	return (x > y) - (x < y);
}

static void log_role(const struct feed_source *f)
{
	struct log_line *l = log_event(LOG_STATE, "feed");

	if (!l)
		return;
	log_bool(l, "watcher", f->is_watcher);
	log_u64(l, "watchers", f->watchers->len);
	log_u64(l, "others", f->proxies->len);
	log_event_end(l);
}

static void choose_watchers(struct feed_source *f)
{
	struct relay_server_info self = { .id = f->name,
					  .zone = f->zone,
					  .capacity.mbps = f->mbps };
	bool was_watcher = f->is_watcher, was_shared = f->is_shared;

	f->is_shared = f->proxies->len + 1 > DIRECT_MAX_PROXIES;
	f->is_watcher = false;
	if (f->is_shared)
		select_watchers(f, &self);
	g_ptr_array_sort_with_data(f->watchers, by_preference, f);
	if (was_watcher != f->is_watcher || was_shared != f->is_shared)
		log_role(f);
}

/* Replaces the list of proxies and chooses the watchers anew. */
void feed_source_on_proxies(struct feed_source *f,
			    const struct relay_server_info *infos,
			    unsigned n_infos)
{
	struct relay_server_info *copy;
	unsigned i;

	g_ptr_array_set_size(f->watchers, 0);
	g_ptr_array_set_size(f->proxies, 0);
	for (i = 0; i < n_infos; i++) {
		if (!strcmp(infos[i].id, f->name)) {
			f->mbps = infos[i].capacity.mbps;
			continue;
		}
		copy = g_new(struct relay_server_info, 1);
		relay_server_info_copy(copy, &infos[i]);
		g_ptr_array_add(f->proxies, copy);
	}
	choose_watchers(f);
}

static const struct fault *find_fault(const struct feed_source *f,
				      const char *name, uint64_t now_us)
{
	const struct fault *fault = g_hash_table_lookup(f->faults, name);

	return fault && now_us < fault->until_us ? fault : NULL;
}

/*
 * The watcher to ask; NULL: none. Watchers with a fault are skipped. While the
 * store is silent, a watcher that is behind knows no less than this proxy, and
 * is asked if there is no other.
 */
static const struct relay_server_info *pick_watcher(const struct feed_source *f,
						    uint64_t now_us)
{
	unsigned i, n = f->watchers->len,
		    first = f->n_behind / ANSWERS_PER_WATCHER;
	const struct relay_server_info *behind = NULL;

	for (i = 0; i < n; i++) {
		const struct relay_server_info *p =
			g_ptr_array_index(f->watchers, (first + i) % n);
		const struct fault *fault = find_fault(f, p->id, now_us);

		if (!fault)
			return p;
		if (!behind && fault->answered)
			behind = p;
	}
	return f->is_store_silent ? behind : NULL;
}

/* A delay below `range`, so that the proxies of a fleet don't ask in step. */
static uint64_t jitter(struct feed_source *f, uint64_t range)
{
	f->n_jitters++;
	return XXH3_64bits_withSeed(f->name, strlen(f->name), f->n_jitters) %
	       range;
}

/*
 * A call that was sent while the store was silent is never answered, even after
 * the store is back. If the proxy waited for that call, it would go on with an
 * old configuration meanwhile and refuse what the operators allow. So after one
 * call without an answer the store is polled repeatedly, whatever became of the
 * earlier polls.
 */
static struct feed_plan plan_poll(struct feed_source *f, bool reads_all)
{
	return (struct feed_plan){
		.wait_ms = POLL_WAIT_MS,
		.repeat_ms = POLL_REPEAT_MIN_MS +
			     (unsigned)jitter(f, POLL_REPEAT_JITTER_MS),
		.timeout_us = reads_all ? POLL_ALL_TIMEOUT_US : POLL_TIMEOUT_US,
	};
}

/*
 * One check of the store by a proxy that has watchers: it is not repeated, as
 * the watchers are asked only after it.
 */
static struct feed_plan plan_check(bool reads_all)
{
	return (struct feed_plan){ .wait_ms = POLL_WAIT_MS,
				   .timeout_us = reads_all ?
							 READ_ALL_TIMEOUT_US :
							 CHECK_TIMEOUT_US };
}

/* The same, at intervals that double up to a maximum. */
static struct feed_plan plan_silent_check(struct feed_source *f, bool reads_all,
					  uint64_t now_us)
{
	f->check_at_us = now_us + f->check_interval_us / 2 +
			 jitter(f, f->check_interval_us);
	f->check_interval_us =
		MIN(f->check_interval_us * 2, CHECK_INTERVAL_MAX_US);
	return plan_check(reads_all);
}

static struct feed_plan plan_store_call(struct feed_source *f, bool reads_all)
{
	if (f->is_store_silent)
		return plan_poll(f, reads_all);
	if (reads_all)
		return (struct feed_plan){ .timeout_us = READ_ALL_TIMEOUT_US };
	if (f->is_shared)
		return (struct feed_plan){ .wait_ms = WATCHER_WAIT_MS,
					   .timeout_us = WATCHER_TIMEOUT_US };
	return (struct feed_plan){
		.wait_ms = f->watch_ms,
		.timeout_us = (f->watch_ms + WATCH_ANSWER_MS) * USEC_PER_MSEC
	};
}

static struct feed_plan make_plan(struct feed_source *f, bool reads_all,
				  uint64_t now_us)
{
	const struct relay_server_info *proxy = NULL;

	if (f->ask_store_once) {
		f->ask_store_once = false;
		return (struct feed_plan){ .timeout_us = READ_ALL_TIMEOUT_US };
	}
	if (!f->is_store_silent && now_us >= f->switched_until_us)
		f->n_behind = 0;
	if (!f->is_watcher && now_us >= f->store_until_us)
		proxy = pick_watcher(f, now_us);
	if (!proxy && f->check_store)
		return plan_check(reads_all);
	if (!proxy)
		return plan_store_call(f, reads_all);
	if (f->is_store_silent && now_us >= f->check_at_us)
		return plan_silent_check(f, reads_all, now_us);
	return (struct feed_plan){ .proxy = proxy,
				   .wait_ms = f->is_store_silent ?
						      FOLLOW_SILENT_WAIT_MS :
						      FOLLOW_WAIT_MS,
				   .timeout_us = FOLLOW_TIMEOUT_US };
}

/* Chooses whom the next call asks, and its times. */
struct feed_plan feed_source_plan(struct feed_source *f, bool reads_all,
				  uint64_t now_us)
{
	struct feed_plan p = make_plan(f, reads_all, now_us);

	p.total_timeout_us = p.proxy ? FOLLOW_CALL_MAX_US : STORE_CALL_MAX_US;
	return p;
}

static void log_watcher_left(const char *name, bool answered, uint64_t age_us)
{
	struct log_line *l = log_event(LOG_STATE, "watcher-left");

	if (!l)
		return;
	log_cstr(l, "proxy", name);
	log_cstr(l, "why", answered ? "behind" : "no answer");
	log_u64(l, "age_ms", age_us / USEC_PER_MSEC);
	log_event_end(l);
}

static void avoid_watcher(struct feed_source *f, const char *name,
			  bool answered, uint64_t now_us)
{
	struct fault *fault = g_new0(struct fault, 1);

	fault->until_us = now_us + FAULT_AVOID_US;
	fault->answered = answered;
	g_hash_table_replace(f->faults, g_strdup(name), fault);
}

/*
 * The watcher that reported the store's return is kept for a while, since the
 * preferred one may notice it later.
 */
static void end_silence(struct feed_source *f, uint64_t now_us)
{
	if (f->is_store_silent)
		f->switched_until_us = now_us + SWITCH_HOLD_US;
	f->is_store_silent = false;
}

static void begin_silence(struct feed_source *f, uint64_t now_us)
{
	f->is_store_silent = true;
	f->store_until_us = 0;
	f->check_interval_us = CHECK_INTERVAL_MIN_US;
	f->check_at_us = now_us + CHECK_INTERVAL_MIN_US / 2 +
			 jitter(f, CHECK_INTERVAL_MIN_US);
}

/*
 * If a watcher is cut off from the store, or hangs, its followers would go on
 * with an old configuration although they reach the store themselves. That
 * shows in the age of its answers, or in the lack of one. The follower then
 * asks the store at once, and later another watcher. If the store doesn't
 * answer this proxy either, being behind is no fault of the watcher, and the
 * watchers are asked in turn.
 */
bool feed_source_on_answer(struct feed_source *f, const char *name,
			   bool answered, uint64_t age_us, uint64_t now_us)
{
	bool is_current = answered && age_us <= WATCHER_AGE_MAX_US;

	if (is_current) {
		end_silence(f, now_us);
		return true;
	}
	if (f->is_store_silent && answered) {
		f->n_behind++;
		return false;
	}
	log_watcher_left(name, answered, age_us);
	avoid_watcher(f, name, answered, now_us);
	if (!f->is_store_silent) {
		f->store_until_us = now_us + SWITCH_HOLD_US;
		f->check_store = true;
	}
	return false;
}

/*
 * If the store is silent for a whole fleet, and each follower left its watcher
 * and polled the store, hundreds of proxies would load it when it is back. So a
 * follower checks the store once, then asks the watchers, which report at once
 * that the store is back, and checks the store itself at growing intervals.
 */
void feed_source_on_store(struct feed_source *f, bool answered, uint64_t now_us)
{
	f->check_store = false;
	if (answered)
		end_silence(f, now_us);
	else if (!f->is_store_silent)
		begin_silence(f, now_us);
}

/* The next plan asks the store. */
void feed_source_on_value_missing(struct feed_source *f)
{
	f->ask_store_once = true;
}

/* The number of proxies, in this data centre, per watcher. */
static unsigned followers(const struct feed_source *f)
{
	unsigned i, n_in_zone = 1;

	for (i = 0; i < f->proxies->len; i++) {
		const struct relay_server_info *p =
			g_ptr_array_index(f->proxies, i);

		n_in_zone += !g_strcmp0(p->zone, f->zone);
	}
	return MIN(n_in_zone, PROXIES_PER_WATCHER);
}

/*
 * Whether a watcher's link has at least as much bandwidth per follower as the
 * store's link has per proxy. If hundreds of proxies read a large configuration
 * from the store at once, its link is full for longer than the configuration
 * may take, while each watcher serves only a few of them over a link as wide.
 */
static bool is_wider_than_store(const struct feed_source *f)
{
	unsigned n = f->proxies->len + 1;

	return f->is_shared && f->mbps * n >= STORE_LINK_MBPS * followers(f);
}

/*
 * A value of up to this size is sent by the watcher. That spares each follower
 * a call to the store, and reaches followers that the store doesn't answer.
 */
size_t feed_source_value_max(const struct feed_source *f)
{
	unsigned ms = is_wider_than_store(f) ? VALUE_SEND_MAX_LONG_MS :
					       VALUE_SEND_MAX_MS;
	size_t bytes = (size_t)f->mbps * BYTES_PER_MS_PER_MBPS * ms;

	return bytes / followers(f) * BASE64_BYTES / BASE64_CHARS;
}

/* Whether this proxy watches the store for others. */
bool feed_source_is_watcher(const struct feed_source *f)
{
	return f->is_watcher;
}
