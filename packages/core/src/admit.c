#include <celeryquay/core/admit.h>

#include <string.h>
#include <xxhash.h>

#define PRIORITIES 10
/* Entries that may be queued per slot. */
#define QUEUE_PER_SLOT 128
/* Estimated service time until one has been measured. */
#define DEFAULT_SERVICE_US 5000.0
/* Divisor of the moving average of service times. */
#define SERVICE_SMOOTHING 8.0
/* A running request is expected to take at least this part of its estimate. */
#define MIN_REMAINING_RATIO 0.25
#define RETRY_AFTER_MIN_US (20 * USEC_PER_MSEC)

/*
 * One caller's requests. Its tag is the virtual start time of its next request:
 * service time divided by weight, so of two backlogged callers the one that
 * received less for its weight has the lower tag.
 */
struct admit_flow {
	char *name;
	struct str caller; /* view of name, key of by_caller */
	unsigned weight;
	double tag;
	unsigned queued;
	unsigned running;
	double work_us; /* expected service time of queued entries */
	GQueue entries[PRIORITIES];
};

/* Counts and service time of a profile's requests. */
struct admit_profile_state {
	unsigned queued;
	unsigned running;
	double service_us; /* moving average, 0: never measured */
};

struct admit {
	unsigned slots;
	unsigned queued;
	double work_us; /* expected service time of queued entries */
	double virtual_us; /* virtual time: highest tag that started */
	uint64_t next_expiry_at_us; /* no queued entry expires before */
	GHashTable *by_caller; /* struct str -> flow */
	GPtrArray *flows; /* owned */
	GHashTable *profile_states; /* by profile name, owned */
	GQueue running;
	double service_us; /* moving average over all profiles */
};

static guint hash_str(gconstpointer key)
{
	const struct str *s = key;

	return (guint)XXH3_64bits(s->data, s->len);
}

static gboolean equal_str(gconstpointer a, gconstpointer b)
{
	const struct str *x = a;
	const struct str *y = b;

	return str_eq(*x, *y);
}

static void free_flow(gpointer data)
{
	struct admit_flow *flow = data;

	g_free(flow->name);
	g_free(flow);
}

/* Creates an empty queue for this number of slots. */
struct admit *admit_create(unsigned slots)
{
	struct admit *a = g_new0(struct admit, 1);

	a->slots = slots;
	a->next_expiry_at_us = UINT64_MAX;
	a->by_caller = g_hash_table_new(hash_str, equal_str);
	a->flows = g_ptr_array_new_with_free_func(free_flow);
	a->profile_states =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	g_queue_init(&a->running);
	return a;
}

/* Frees the queue; it must hold no entries. */
void admit_destroy(struct admit *a)
{
	if (!a)
		return;
	g_hash_table_destroy(a->by_caller);
	g_ptr_array_free(a->flows, TRUE);
	g_hash_table_destroy(a->profile_states);
	g_free(a);
}

/* Changes the number of slots; requests beyond it keep running. */
void admit_set_slots(struct admit *a, unsigned slots)
{
	a->slots = slots;
}

static bool flow_is_idle(const struct admit *a, const struct admit_flow *flow)
{
	return !flow->queued && !flow->running && flow->tag <= a->virtual_us;
}

/* Removes callers without requests whose tag is not ahead of virtual time. */
static void remove_idle_flows(struct admit *a)
{
	unsigned i = 0;

	while (i < a->flows->len) {
		struct admit_flow *flow = g_ptr_array_index(a->flows, i);

		if (flow_is_idle(a, flow)) {
			g_hash_table_remove(a->by_caller, &flow->caller);
			g_ptr_array_remove_index_fast(a->flows, i);
		} else {
			i++;
		}
	}
}

static struct admit_flow *get_flow(struct admit *a, struct str caller)
{
	struct admit_flow *flow = g_hash_table_lookup(a->by_caller, &caller);
	unsigned i;

	if (flow)
		return flow;
	remove_idle_flows(a);
	flow = g_new0(struct admit_flow, 1);
	flow->name = str_dup(caller);
	flow->caller = (struct str){ flow->name, caller.len };
	flow->tag = a->virtual_us;
	for (i = 0; i < PRIORITIES; i++)
		g_queue_init(&flow->entries[i]);
	g_hash_table_insert(a->by_caller, &flow->caller, flow);
	g_ptr_array_add(a->flows, flow);
	return flow;
}

static struct admit_profile_state *get_profile_state(struct admit *a,
						     const char *profile)
{
	struct admit_profile_state *state =
		g_hash_table_lookup(a->profile_states, profile);

	if (state)
		return state;
	state = g_new0(struct admit_profile_state, 1);
	g_hash_table_insert(a->profile_states, g_strdup(profile), state);
	return state;
}

static double estimate_us(const struct admit *a,
			  const struct admit_profile_state *state)
{
	if (state->service_us > 0)
		return state->service_us;
	return a->service_us > 0 ? a->service_us : DEFAULT_SERVICE_US;
}

/*
 * When a queued entry expires: once less than its expected service time is
 * left. It always gets the chance to start at once after it was queued, since
 * an estimate that is far too high is corrected only by running requests.
 */
static uint64_t expires_at_us(const struct admit_entry *e)
{
	uint64_t expected_us = (uint64_t)e->estimate_us;

	if (e->deadline_us <= e->queued_at_us + expected_us)
		return MIN(e->deadline_us, e->queued_at_us + 1);
	return e->deadline_us - expected_us;
}

/* The expected remaining service time of a running request. */
static double remaining_us(const struct admit_entry *e, uint64_t now_us)
{
	double left_us = e->estimate_us - (double)(now_us - e->started_us);

	return MAX(left_us, e->estimate_us * MIN_REMAINING_RATIO);
}

static double running_work_us(const struct admit *a, uint64_t now_us)
{
	double work_us = 0;
	GList *l;

	for (l = a->running.head; l; l = l->next)
		work_us += remaining_us(l->data, now_us);
	return work_us;
}

/* Work of the caller's own requests that run before one of this priority. */
static double queued_ahead_us(const struct admit_flow *flow, unsigned priority)
{
	double work_us = 0;
	unsigned i;

	for (i = priority; i < PRIORITIES; i++) {
		GList *l;

		for (l = flow->entries[i].head; l; l = l->next) {
			const struct admit_entry *e = l->data;

			work_us += e->estimate_us;
		}
	}
	return work_us;
}

/*
 * How long a new entry would wait: the work that runs before it in fair order,
 * divided by the slots. Of other callers that is what starts at a lower tag.
 */
static double predict_wait_us(const struct admit *a,
			      const struct admit_flow *flow, unsigned priority,
			      unsigned weight, uint64_t now_us)
{
	double own_us = flow ? queued_ahead_us(flow, priority) : 0;
	double tag = a->virtual_us;
	double ahead_us = own_us;
	unsigned i;

	if (!a->queued && a->running.length < a->slots)
		return 0;
	if (flow)
		tag = MAX(flow->tag, tag) + own_us / weight;
	for (i = 0; i < a->flows->len; i++) {
		const struct admit_flow *f = g_ptr_array_index(a->flows, i);
		double share_us = (tag - f->tag) * f->weight;

		if (f != flow && f->queued && share_us > 0)
			ahead_us += MIN(share_us, f->work_us);
	}
	return (ahead_us + running_work_us(a, now_us)) / MAX(a->slots, 1);
}

static unsigned queue_limit(const struct admit *a)
{
	return a->slots * QUEUE_PER_SLOT;
}

/*
 * Whether the caller may queue one more: it may have as many entries as there
 * is room left in the queue. So the limit shrinks as the queue fills: a single
 * caller gets half, two get a third each, and there is always room for another.
 */
static bool flow_has_room(const struct admit *a, const struct admit_flow *flow)
{
	unsigned left = queue_limit(a) - a->queued;

	return flow->queued < left;
}

/* A profile's share limits it only while other profiles wait too. */
static bool profile_has_room(const struct admit *a, const struct admit_entry *e)
{
	unsigned limit = queue_limit(a) * e->profile->share / 100;

	return e->profile_state->queued < MAX(limit, 1) ||
	       e->profile_state->queued == a->queued;
}

static bool refuse(struct err *err, enum err_code code, double wait_us,
		   uint64_t *retry_after_us, const char *why)
{
	*retry_after_us = MAX((uint64_t)wait_us, RETRY_AFTER_MIN_US);
	err_set(err, code, "%s; try again in %u ms", why,
		(unsigned)(*retry_after_us / USEC_PER_MSEC));
	return false;
}

/*
 * Checks the reasons for refusal in the order in which they are reported. With
 * a free slot nothing is refused because of its deadline: otherwise, with an
 * estimate that is too high, nothing would run and correct it.
 */
static bool may_queue(const struct admit *a, const struct admit_entry *e,
		      uint64_t now_us, uint64_t *retry_after_us,
		      struct err *err)
{
	double wait_us = predict_wait_us(a, e->flow, e->profile->priority,
					 e->flow->weight, now_us);
	double left_us =
		e->deadline_us > now_us ? (double)(e->deadline_us - now_us) : 0;
	double late_us = wait_us > 0 ? wait_us + e->estimate_us - left_us : 0;

	if (a->queued >= queue_limit(a))
		return refuse(err, ERR_OVERLOADED, wait_us, retry_after_us,
			      "the queue is full");
	if (!flow_has_room(a, e->flow))
		return refuse(err, ERR_SHARE_USED_UP, wait_us, retry_after_us,
			      "the caller's share of the queue is used up");
	if (!profile_has_room(a, e))
		return refuse(err, ERR_SHARE_USED_UP, wait_us, retry_after_us,
			      "the profile's share of the queue is used up");
	if (late_us > 0)
		return refuse(err, ERR_OVERLOADED, late_us, retry_after_us,
			      "the queue can not meet the deadline");
	return true;
}

static void enqueue(struct admit *a, struct admit_entry *e)
{
	struct admit_flow *flow = e->flow;
	GQueue *q = &flow->entries[e->profile->priority];

	if (!flow->queued)
		flow->tag = MAX(flow->tag, a->virtual_us);
	g_queue_push_tail(q, e);
	e->link = q->tail;
	flow->queued++;
	flow->work_us += e->estimate_us;
	e->profile_state->queued++;
	a->queued++;
	a->work_us += e->estimate_us;
	a->next_expiry_at_us = MIN(a->next_expiry_at_us, expires_at_us(e));
}

static void dequeue(struct admit *a, struct admit_entry *e)
{
	struct admit_flow *flow = e->flow;

	g_queue_delete_link(&flow->entries[e->profile->priority], e->link);
	e->link = NULL;
	flow->queued--;
	flow->work_us = flow->queued ? flow->work_us - e->estimate_us : 0;
	e->profile_state->queued--;
	a->queued--;
	a->work_us = a->queued ? a->work_us - e->estimate_us : 0;
}

/*
 * Queues an entry, or refuses it at once when it would not be served before its
 * deadline: waiting in vain costs the caller the time in which it could have
 * tried elsewhere, and the server the work.
 */
bool admit_push(struct admit *a, struct admit_entry *e, uint64_t now_us,
		uint64_t *retry_after_us, struct err *err)
{
	e->flow = get_flow(a, e->caller);
	e->flow->weight = MAX(e->caller_share, 1);
	e->profile_state = get_profile_state(a, e->profile->name);
	e->estimate_us = estimate_us(a, e->profile_state);
	if (!may_queue(a, e, now_us, retry_after_us, err)) {
		e->flow = NULL;
		return false;
	}
	e->queued_at_us = now_us;
	enqueue(a, e);
	return true;
}

/*
 * Whether the profile has taken its share of the slots while other profiles
 * wait.
 */
static bool profile_is_capped(const struct admit *a,
			      const struct admit_entry *e)
{
	unsigned limit = a->slots * e->profile->share / 100;

	return e->profile_state->running >= MAX(limit, 1) &&
	       e->profile_state->queued != a->queued;
}

/* The caller's first entry that may start, in the order of priority. */
static struct admit_entry *flow_pick_entry(const struct admit *a,
					   const struct admit_flow *flow,
					   bool enforce_shares, uint64_t now_us)
{
	unsigned i;

	for (i = PRIORITIES; i > 0; i--) {
		GList *l;

		for (l = flow->entries[i - 1].head; l; l = l->next) {
			struct admit_entry *e = l->data;

			if (now_us >= expires_at_us(e))
				continue;
			if (!enforce_shares || !profile_is_capped(a, e))
				return e;
		}
	}
	return NULL;
}

/* Of callers with an entry that may start, the entry of the lowest tag. */
static struct admit_entry *pick_entry(const struct admit *a,
				      bool enforce_shares, uint64_t now_us)
{
	struct admit_entry *best = NULL;
	unsigned i;

	for (i = 0; i < a->flows->len; i++) {
		struct admit_flow *flow = g_ptr_array_index(a->flows, i);
		struct admit_entry *e;

		if (!flow->queued || (best && flow->tag >= best->flow->tag))
			continue;
		e = flow_pick_entry(a, flow, enforce_shares, now_us);
		if (e)
			best = e;
	}
	return best;
}

/*
 * Raises the tags of callers that were passed over because their profiles have
 * taken their share of the slots, so that they gain no credit by it. Otherwise
 * heavy requests that were held to their share for a minute would run before
 * all others for the next minute.
 */
static void forfeit_credit(const struct admit *a, double tag)
{
	unsigned i;

	for (i = 0; i < a->flows->len; i++) {
		struct admit_flow *flow = g_ptr_array_index(a->flows, i);

		if (flow->queued)
			flow->tag = MAX(flow->tag, tag);
	}
}

/*
 * Takes a free slot for the next entry to run, in fair order. The shares of
 * profiles are ignored when a slot would stay empty otherwise.
 */
struct admit_entry *admit_pop(struct admit *a, uint64_t now_us)
{
	struct admit_entry *e;

	if (!a->queued || a->running.length >= a->slots)
		return NULL;
	e = pick_entry(a, true, now_us);
	if (!e)
		e = pick_entry(a, false, now_us);
	if (!e)
		return NULL;
	dequeue(a, e);
	forfeit_credit(a, e->flow->tag);
	a->virtual_us = MAX(a->virtual_us, e->flow->tag);
	e->flow->tag += e->estimate_us / e->flow->weight;
	e->flow->running++;
	e->profile_state->running++;
	e->started_us = now_us;
	g_queue_push_tail(&a->running, e);
	e->link = a->running.tail;
	return e;
}

/* Removes a queued entry (caller gone, routed elsewhere). */
void admit_remove(struct admit *a, struct admit_entry *e)
{
	dequeue(a, e);
}

/* An expired entry, or NULL and in *next_at_us when the next one expires. */
static struct admit_entry *find_expired(const struct admit *a, uint64_t now_us,
					uint64_t *next_at_us)
{
	unsigned i, k;
	GList *l;

	*next_at_us = UINT64_MAX;
	for (i = 0; i < a->flows->len; i++) {
		const struct admit_flow *flow = g_ptr_array_index(a->flows, i);

		for (k = 0; k < PRIORITIES; k++) {
			for (l = flow->entries[k].head; l; l = l->next) {
				if (now_us >= expires_at_us(l->data))
					return l->data;
				*next_at_us = MIN(*next_at_us,
						  expires_at_us(l->data));
			}
		}
	}
	return NULL;
}

/*
 * Removes and returns an entry whose deadline can't be met any more; NULL:
 * none. Call it until it returns NULL, so that each is answered at once.
 */
struct admit_entry *admit_pop_expired(struct admit *a, uint64_t now_us)
{
	struct admit_entry *e;
	uint64_t next_at_us;

	if (!a->queued || now_us < a->next_expiry_at_us)
		return NULL;
	e = find_expired(a, now_us, &next_at_us);
	if (e)
		dequeue(a, e);
	else
		a->next_expiry_at_us = next_at_us;
	return e;
}

static void smooth(double *value, double sample)
{
	if (*value > 0)
		*value += (sample - *value) / SERVICE_SMOOTHING;
	else
		*value = sample;
}

/*
 * Frees the slot of a popped entry. Its caller is charged the service time
 * instead of the estimate. A service time of 0 means that it ended without
 * being served: the caller is charged nothing, and the estimates stay.
 */
void admit_done(struct admit *a, struct admit_entry *e, uint64_t service_us)
{
	double error_us = (double)service_us - e->estimate_us;

	g_queue_delete_link(&a->running, e->link);
	e->link = NULL;
	e->profile_state->running--;
	e->flow->running--;
	e->flow->tag += error_us / e->flow->weight;
	if (service_us) {
		smooth(&e->profile_state->service_us, (double)service_us);
		smooth(&a->service_us, (double)service_us);
	}
	e->flow = NULL;
}

/* The number of queued entries. */
unsigned admit_queued(const struct admit *a)
{
	return a->queued;
}

/* The number of taken slots. */
unsigned admit_running(const struct admit *a)
{
	return a->running.length;
}

/* The expected time to run all queued requests; 0 when none is queued. */
uint64_t admit_backlog_us(const struct admit *a)
{
	if (!a->queued && a->running.length < a->slots)
		return 0;
	return (uint64_t)(a->work_us / MAX(a->slots, 1));
}

/*
 * How long a request of this caller and profile would wait if pushed now, for
 * routing to compare servers. 0 with a free slot and an empty queue.
 */
uint64_t admit_predict_wait_us(const struct admit *a, struct str caller,
			       const struct profile *profile,
			       unsigned caller_share, uint64_t now_us)
{
	const struct admit_flow *flow =
		g_hash_table_lookup(a->by_caller, &caller);
	unsigned weight = MAX(caller_share, 1);

	return (uint64_t)predict_wait_us(a, flow, profile->priority, weight,
					 now_us);
}

/* The expected service time of a profile's request on this server. */
uint64_t admit_expected_service_us(const struct admit *a,
				   const struct profile *profile)
{
	static const struct admit_profile_state unknown;
	const struct admit_profile_state *known =
		g_hash_table_lookup(a->profile_states, profile->name);

	return (uint64_t)estimate_us(a, known ? known : &unknown);
}
