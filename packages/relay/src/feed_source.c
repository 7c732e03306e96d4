#include <celeryquay/relay/feed_source.h>
#include <celeryquay/relay/server_list.h>

#include <celeryquay/base/log_event.h>

#include <string.h>
#include <xxhash.h>

/*
 * Up to so many proxies each watch the store themselves: a watcher makes some
 * 75 calls a minute to stay current, a proxy on its own some 60.
 */
#define DIRECT_MAX 16
/*
 * Of a data centre: one, and one more for each so many proxies. A follower
 * makes 1.4 calls a second; when the only one dies, the others' watchers take
 * over.
 */
#define PROXIES_A_WATCHER 64
/* A new value may fill the link of a watcher for so long. */
#define VALUE_MS 250
/* The same where the store's link would be full for longer. */
#define VALUE_MOST_MS 1000
#define BYTES_PER_MS_OF_MBPS 125
/* Of the store, which says nothing of it. */
#define STORE_MBPS 1000
/* Values are sent as text, four characters for three bytes. */
#define TEXT_CHARS 4
#define TEXT_BYTES 3
/*
 * A watch that nobody else relies on. A longer wait makes fewer calls; a change
 * that a silent connection hides is found with the next one.
 */
#define WATCH_MS 3400
#define WATCH_SPARE_MS 400 /* for its answer to come */
/* Of an age limit: what a store tells late, gathering, and two answers. */
#define YOUNG_MARGIN_US (1800 * USEC_PER_MSEC)
/* One that others rely on, who take AGE_MAX_US of age. */
#define WATCHER_MS 800
#define WATCHER_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* A call to a watcher. */
#define FEED_MS 700
#define FEED_TIMEOUT_US (1000 * USEC_PER_MSEC)
/* One in a silence: its answer says whether the store is back. */
#define FEED_SILENT_MS 250
/*
 * An answer that goes on. Over a narrow link one of the store takes seconds,
 * and to cut it short is to begin anew; another watcher's link may be wider.
 */
#define FEED_MOST_US (3 * USEC_PER_SEC)
#define STORE_MOST_US (20 * USEC_PER_SEC)
/* All of the store, which answers within 0.3 s also when it is slow. */
#define RANGE_TIMEOUT_US (1000 * USEC_PER_MSEC)
/*
 * While the store gives no answers. A question waits for no news; its limit
 * bears a slow store, and the next one doesn't wait for it to pass.
 */
#define QUESTION_MS 1
#define QUESTION_TIMEOUT_US (1200 * USEC_PER_MSEC)
/* One that reads all brings more, also over a narrow link. */
#define QUESTION_ALL_TIMEOUT_US (3 * USEC_PER_SEC)
#define REPEAT_LEAST_MS 300
#define REPEAT_SPREAD_MS 100
/* A proxy that others ask for: its own question, and until the next one. */
#define CHECK_TIMEOUT_US (350 * USEC_PER_MSEC)
#define STEP_LEAST_US (1 * USEC_PER_SEC)
#define STEP_MOST_US (4 * USEC_PER_SEC)
/*
 * What a watcher knows may be so old. With the 0.7 s that a call to it waits, a
 * watcher that was cut off is left after 2.2 s; a change has 3 s to be in
 * force.
 */
#define AGE_MAX_US (1500 * USEC_PER_MSEC)
/*
 * In a silence the next one is asked after so many answers: the first one is
 * given at once, the second one when there is news.
 */
#define ASKED_IN_TURN 2
/* One that failed is not asked again for so long. */
#define BAD_US (10 * USEC_PER_SEC)
/* After a watcher failed, what the store answers is good for so long. */
#define STORE_US (1 * USEC_PER_SEC)

/* Of a watcher that is not asked for a while. */
struct fault {
	uint64_t until_us;
	bool answered; /* it was behind */
};

struct feed_source {
	char *name;
	char *zone;
	GPtrArray *proxies; /* struct relay_server_info, without this one */
	GPtrArray *watchers; /* borrowed; as this one prefers them */
	GHashTable *faults; /* name -> struct fault */
	uint64_t store_until_us;
	uint64_t question_us; /* the next own question, if it is silent */
	uint64_t step_us; /* to the one after it */
	unsigned n_questions;
	unsigned n_behind; /* answers that were, of watchers in a silence */
	uint64_t away_until_us; /* from the preferred one, after it */
	unsigned watch_ms; /* of a watch that nobody else relies on */
	unsigned mbps; /* its own, as it is listed */
	bool is_shared; /* a few watch the store for the others */
	bool is_watcher;
	bool asks_once; /* the store, for what a proxy doesn't send */
	bool is_silent; /* the store gave this proxy no answer */
	bool checks; /* a watcher failed; is the store there? */
};

static void free_info(gpointer info)
{
	relay_server_info_free(info);
}

/* Asks the store until there is a list. */
struct feed_source *feed_source_create(const char *name, const char *zone)
{
	struct feed_source *f = g_new0(struct feed_source, 1);

	f->watch_ms = WATCH_MS;
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
 * A watch without news says what was known when it was sent, less what a store
 * may be late to tell; and it is as old as two waits before the next one ends.
 */
void feed_source_keep_young(struct feed_source *f, uint64_t max_age_us)
{
	uint64_t waits_us = max_age_us - MIN(max_age_us, YOUNG_MARGIN_US);
	uint64_t wait_ms = MAX(waits_us / 2 / USEC_PER_MSEC, WATCHER_MS);

	f->watch_ms = max_age_us ? (unsigned)MIN(wait_ms, WATCH_MS) : WATCH_MS;
}

static uint64_t draw(const char *name)
{
	return XXH3_64bits(name, strlen(name));
}

/* A proxy that may watch for its data centre. */
struct candidate {
	const struct relay_server_info *info;
	uint64_t draw;
};

/*
 * Data centres one after the other. In each, the one with the widest link
 * serves most; among equals the draw decides.
 */
static gint by_zone_and_link(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;
	int zone = g_strcmp0(x->info->zone, y->info->zone);

	if (zone)
		return zone;
	if (x->info->mbps != y->info->mbps)
		return x->info->mbps > y->info->mbps ? -1 : 1;
	if (x->draw != y->draw)
		return x->draw > y->draw ? -1 : 1;
	return strcmp(x->info->id, y->info->id);
}

/* All proxies and this one, best first in each data centre. */
static GArray *list_candidates(const struct feed_source *f,
			       const struct relay_server_info *self)
{
	GArray *list = g_array_sized_new(FALSE, FALSE, sizeof(struct candidate),
					 f->proxies->len + 1);
	struct candidate c = { .info = self, .draw = draw(self->id) };
	unsigned i;

	g_array_append_val(list, c);
	for (i = 0; i < f->proxies->len; i++) {
		c.info = g_ptr_array_index(f->proxies, i);
		c.draw = draw(c.info->id);
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

/* Where the next data centre begins. */
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

/* The first few of each data centre. */
static void take_watchers(struct feed_source *f,
			  const struct relay_server_info *self)
{
	GArray *list = list_candidates(f, self);
	unsigned from, end, i, n;

	for (from = 0; from < list->len; from = end) {
		end = zone_end(list, from);
		n = 1 + (end - from) / PROXIES_A_WATCHER;
		for (i = from; i < MIN(from + n, end); i++)
			add_watcher(f, candidate_at(list, i), self);
	}
	g_array_free(list, TRUE);
}

/* Near ones first; among them each proxy has its own order. */
static uint64_t preference(const struct feed_source *f,
			   const struct relay_server_info *p)
{
	uint64_t d = XXH3_64bits_withSeed(p->id, strlen(p->id), draw(f->name));

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
					  .mbps = f->mbps };
	bool was_watcher = f->is_watcher, was_shared = f->is_shared;

	f->is_shared = f->proxies->len + 1 > DIRECT_MAX;
	f->is_watcher = false;
	if (f->is_shared)
		take_watchers(f, &self);
	g_ptr_array_sort_with_data(f->watchers, by_preference, f);
	if (was_watcher != f->is_watcher || was_shared != f->is_shared)
		log_role(f);
}

/* The proxies as they are listed. */
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
			f->mbps = infos[i].mbps;
			continue;
		}
		copy = g_new(struct relay_server_info, 1);
		relay_server_info_copy(copy, &infos[i]);
		g_ptr_array_add(f->proxies, copy);
	}
	choose_watchers(f);
}

static const struct fault *fault_of(const struct feed_source *f,
				    const char *name, uint64_t now_us)
{
	const struct fault *fault = g_hash_table_lookup(f->faults, name);

	return fault && now_us < fault->until_us ? fault : NULL;
}

/*
 * One that failed is passed over. In a silence one that hears nothing of the
 * store is no worse than this proxy, and is asked where there is no other.
 */
static const struct relay_server_info *pick(const struct feed_source *f,
					    uint64_t now_us)
{
	unsigned i, n = f->watchers->len, first = f->n_behind / ASKED_IN_TURN;
	const struct relay_server_info *behind = NULL;

	for (i = 0; i < n; i++) {
		const struct relay_server_info *p =
			g_ptr_array_index(f->watchers, (first + i) % n);
		const struct fault *fault = fault_of(f, p->id, now_us);

		if (!fault)
			return p;
		if (!behind && fault->answered)
			behind = p;
	}
	return f->is_silent ? behind : NULL;
}

/* Spread over the fleet, so that proxies don't ask in step. */
static uint64_t spread(struct feed_source *f, uint64_t range)
{
	f->n_questions++;
	return XXH3_64bits_withSeed(f->name, strlen(f->name), f->n_questions) %
	       range;
}

/*
 * Failure: a store falls silent and is back. A call that was sent meanwhile
 * is never answered, and while it lasts the proxy goes on by an old
 * configuration, though the store is there. It shows as refusals of what the
 * operators allow. Guard: after one call without an answer the store is asked
 * again and again, whatever became of the questions before.
 */
static struct feed_plan question(struct feed_source *f, bool reads_all)
{
	return (struct feed_plan){
		.wait_ms = QUESTION_MS,
		.repeat_ms =
			REPEAT_LEAST_MS + (unsigned)spread(f, REPEAT_SPREAD_MS),
		.timeout_us = reads_all ? QUESTION_ALL_TIMEOUT_US :
					  QUESTION_TIMEOUT_US,
	};
}

/* Of a proxy that others ask for: once, as the others wait behind it. */
static struct feed_plan check(bool reads_all)
{
	return (struct feed_plan){ .wait_ms = QUESTION_MS,
				   .timeout_us = reads_all ? RANGE_TIMEOUT_US :
							     CHECK_TIMEOUT_US };
}

/* Rarer and rarer. */
static struct feed_plan check_in_silence(struct feed_source *f, bool reads_all,
					 uint64_t now_us)
{
	f->question_us = now_us + f->step_us / 2 + spread(f, f->step_us);
	f->step_us = MIN(f->step_us * 2, STEP_MOST_US);
	return check(reads_all);
}

static struct feed_plan ask_store(struct feed_source *f, bool reads_all)
{
	if (f->is_silent)
		return question(f, reads_all);
	if (reads_all)
		return (struct feed_plan){ .timeout_us = RANGE_TIMEOUT_US };
	if (f->is_shared)
		return (struct feed_plan){ .wait_ms = WATCHER_MS,
					   .timeout_us = WATCHER_TIMEOUT_US };
	return (struct feed_plan){
		.wait_ms = f->watch_ms,
		.timeout_us = (f->watch_ms + WATCH_SPARE_MS) * USEC_PER_MSEC
	};
}

static struct feed_plan plan(struct feed_source *f, bool reads_all,
			     uint64_t now_us)
{
	const struct relay_server_info *proxy = NULL;

	if (f->asks_once) {
		f->asks_once = false;
		return (struct feed_plan){ .timeout_us = RANGE_TIMEOUT_US };
	}
	if (!f->is_silent && now_us >= f->away_until_us)
		f->n_behind = 0;
	if (!f->is_watcher && now_us >= f->store_until_us)
		proxy = pick(f, now_us);
	if (!proxy && f->checks)
		return check(reads_all);
	if (!proxy)
		return ask_store(f, reads_all);
	if (f->is_silent && now_us >= f->question_us)
		return check_in_silence(f, reads_all, now_us);
	return (struct feed_plan){ .proxy = proxy,
				   .wait_ms = f->is_silent ? FEED_SILENT_MS :
							     FEED_MS,
				   .timeout_us = FEED_TIMEOUT_US };
}

/* Whom the next call asks, and how long it waits. */
struct feed_plan feed_source_plan(struct feed_source *f, bool reads_all,
				  uint64_t now_us)
{
	struct feed_plan p = plan(f, reads_all, now_us);

	p.most_us = p.proxy ? FEED_MOST_US : STORE_MOST_US;
	return p;
}

static void log_bad(const char *name, bool answered, uint64_t age_us)
{
	struct log_line *l = log_event(LOG_STATE, "watcher-left");

	if (!l)
		return;
	log_cstr(l, "proxy", name);
	log_cstr(l, "why", answered ? "behind" : "no answer");
	log_u64(l, "age_ms", age_us / USEC_PER_MSEC);
	log_event_end(l);
}

static void leave(struct feed_source *f, const char *name, bool answered,
		  uint64_t now_us)
{
	struct fault *fault = g_new0(struct fault, 1);

	fault->until_us = now_us + BAD_US;
	fault->answered = answered;
	g_hash_table_replace(f->faults, g_strdup(name), fault);
}

/* The preferred watcher may notice later that the store is back. */
static void end_silence(struct feed_source *f, uint64_t now_us)
{
	if (f->is_silent)
		f->away_until_us = now_us + STORE_US;
	f->is_silent = false;
}

static void begin_silence(struct feed_source *f, uint64_t now_us)
{
	f->is_silent = true;
	f->store_until_us = 0;
	f->step_us = STEP_LEAST_US;
	f->question_us = now_us + STEP_LEAST_US / 2 + spread(f, STEP_LEAST_US);
}

/*
 * Failure: a watcher is cut off from the store, or stands still, and those
 * that ask it go on by an old configuration although they reach the store. It
 * shows as age, or as no answer. Guard: the store is asked at once, and then
 * another watcher. Where the store is silent for this proxy, too, being behind
 * is no fault of the watcher: the others are heard in turn.
 */
bool feed_source_on_answer(struct feed_source *f, const char *name,
			   bool answered, uint64_t age_us, uint64_t now_us)
{
	bool is_current = answered && age_us <= AGE_MAX_US;

	if (is_current) {
		end_silence(f, now_us);
		return true;
	}
	if (f->is_silent && answered) {
		f->n_behind++;
		return false;
	}
	log_bad(name, answered, age_us);
	leave(f, name, answered, now_us);
	if (!f->is_silent) {
		f->store_until_us = now_us + STORE_US;
		f->checks = true;
	}
	return false;
}

/*
 * Failure: the store is silent for a whole fleet, and each proxy that asks
 * another leaves it and asks the store on and on: hundreds meet it when it is
 * back. Guard: such a proxy asks once, then those who watch it, who tell at
 * once that the store is back, and the store only in steps that grow.
 */
void feed_source_on_store(struct feed_source *f, bool answered, uint64_t now_us)
{
	f->checks = false;
	if (answered)
		end_silence(f, now_us);
	else if (!f->is_silent)
		begin_silence(f, now_us);
}

/* A value is only at the store. */
void feed_source_on_missing(struct feed_source *f)
{
	f->asks_once = true;
}

/* Those of its data centre, shared among its watchers. */
static unsigned followers(const struct feed_source *f)
{
	unsigned i, near = 1;

	for (i = 0; i < f->proxies->len; i++) {
		const struct relay_server_info *p =
			g_ptr_array_index(f->proxies, i);

		near += !g_strcmp0(p->zone, f->zone);
	}
	return MIN(near, PROXIES_A_WATCHER);
}

/*
 * Failure: hundreds of proxies read a large configuration from the store at
 * once, and its link is full for longer than the configuration may take, while
 * each watcher has as wide a link for a few of them.
 */
static bool is_wider_than_the_store(const struct feed_source *f)
{
	unsigned n = f->proxies->len + 1;

	return f->is_shared && f->mbps * n >= STORE_MBPS * followers(f);
}

/*
 * What a watcher may send of a new value. A small one spares its followers a
 * call to the store each, and reaches those that the store doesn't answer.
 */
size_t feed_source_value_max(const struct feed_source *f)
{
	unsigned ms = is_wider_than_the_store(f) ? VALUE_MOST_MS : VALUE_MS;
	size_t bytes = (size_t)f->mbps * BYTES_PER_MS_OF_MBPS * ms;

	return bytes / followers(f) * TEXT_BYTES / TEXT_CHARS;
}

/* Whether others are to ask this one. */
bool feed_source_is_watcher(const struct feed_source *f)
{
	return f->is_watcher;
}
