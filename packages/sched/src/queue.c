#include <celeryquay/sched/queue.h>

#include <string.h>

/* The share of the servers' time that one account has had. */
struct squeue_flow {
	char *account;
	double finish_tag; /* virtual time at which its last entry ends */
	unsigned n; /* entries in the queue */
};

struct squeue {
	GSequence *order; /* struct squeue_entry, as they are to start */
	GSequence *by_due; /* those that are not late, by latest start */
	GHashTable *flows; /* account -> struct squeue_flow */
	double virtual_time; /* start tag of the entry that started last */
	uint64_t n_pushed;
};

static void flow_free(gpointer data)
{
	struct squeue_flow *f = data;

	g_free(f->account);
	g_free(f);
}

/* An empty queue. */
struct squeue *squeue_create(void)
{
	struct squeue *q = g_new0(struct squeue, 1);

	q->order = g_sequence_new(NULL);
	q->by_due = g_sequence_new(NULL);
	q->flows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, flow_free);
	return q;
}

/* NULL is ignored. */
void squeue_destroy(struct squeue *q)
{
	if (!q)
		return;
	g_sequence_free(q->order);
	g_sequence_free(q->by_due);
	g_hash_table_destroy(q->flows);
	g_free(q);
}

static int compare_u64(uint64_t a, uint64_t b)
{
	return (a > b) - (a < b);
}

/*
 * The order in which entries start. An operation that has begun holds what it
 * has used so far. One that can't meet its target would only make others late,
 * too, so it gets what these leave.
 */
static gint compare_entries(gconstpointer x, gconstpointer y, gpointer ctx)
{
	const struct squeue_entry *a = x, *b = y;

	(void)ctx;
	if (a->begun != b->begun)
		return a->begun ? -1 : 1;
	if (a->late != b->late)
		return a->late ? 1 : -1;
	if (a->priority != b->priority)
		return a->priority < b->priority ? -1 : 1;
	if (a->start_tag < b->start_tag || a->start_tag > b->start_tag)
		return a->start_tag < b->start_tag ? -1 : 1;
	if (a->due_us != b->due_us)
		return compare_u64(a->due_us, b->due_us);
	return compare_u64(a->number, b->number);
}

/* The latest instant at which it may start to meet its latency target. */
static uint64_t latest_start_us(const struct squeue_entry *e)
{
	return e->due_us > e->cost_us ? e->due_us - e->cost_us : 0;
}

static gint compare_latest_starts(gconstpointer x, gconstpointer y,
				  gpointer ctx)
{
	const struct squeue_entry *a = x, *b = y;
	int order = compare_u64(latest_start_us(a), latest_start_us(b));

	(void)ctx;
	return order ? order : compare_u64(a->number, b->number);
}

static struct squeue_flow *flow_of(struct squeue *q, const char *account)
{
	struct squeue_flow *f = g_hash_table_lookup(q->flows, account);

	if (f)
		return f;
	f = g_new0(struct squeue_flow, 1);
	f->account = g_strdup(account);
	g_hash_table_insert(q->flows, f->account, f);
	return f;
}

/* A flow that owes nothing any more is the same as a new one. */
static void drop_flow_if_idle(struct squeue *q, struct squeue_flow *f)
{
	if (!f->n && f->finish_tag <= q->virtual_time)
		g_hash_table_remove(q->flows, f->account);
}

/*
 * Start-time fair queueing between accounts: each one's virtual time grows by
 * its service time over its weight. Entries without an account are one flow,
 * which needs no fairness; among them the latency target alone counts.
 */
static void tag(struct squeue *q, struct squeue_entry *e)
{
	struct squeue_flow *f = e->flow;

	if (!*f->account) {
		e->start_tag = 0;
		return;
	}
	e->start_tag = MAX(q->virtual_time, f->finish_tag);
	f->finish_tag = e->start_tag + (double)e->cost_us / e->weight;
}

/* Adds an entry, which stays the caller's. */
void squeue_push(struct squeue *q, struct squeue_entry *e, uint64_t now_us)
{
	e->flow = flow_of(q, e->account);
	e->flow->n++;
	e->number = q->n_pushed++;
	e->late = latest_start_us(e) < now_us;
	tag(q, e);
	e->at = g_sequence_insert_sorted(q->order, e, compare_entries, NULL);
	if (!e->late)
		e->at_due = g_sequence_insert_sorted(
			q->by_due, e, compare_latest_starts, NULL);
}

static void take_out(struct squeue *q, struct squeue_entry *e)
{
	struct squeue_flow *f = e->flow;

	g_sequence_remove(e->at);
	if (e->at_due)
		g_sequence_remove(e->at_due);
	e->at = e->at_due = NULL;
	e->flow = NULL;
	f->n--;
	drop_flow_if_idle(q, f);
}

/* The entry starts: virtual time advances to its start tag. */
void squeue_start(struct squeue *q, struct squeue_entry *e)
{
	q->virtual_time = MAX(q->virtual_time, e->start_tag);
	take_out(q, e);
}

/* The entry won't start: its account gets the expected service time back. */
void squeue_cancel(struct squeue *q, struct squeue_entry *e)
{
	if (*e->flow->account)
		e->flow->finish_tag -= (double)e->cost_us / e->weight;
	take_out(q, e);
}

/* Charges the account for the difference to the expected service time. */
void squeue_charge(struct squeue *q, const char *account, unsigned weight,
		   uint64_t cost_us, uint64_t service_us)
{
	struct squeue_flow *f;

	if (!*account)
		return;
	f = flow_of(q, account);
	f->finish_tag = MAX(f->finish_tag, q->virtual_time) +
			((double)service_us - (double)cost_us) / weight;
	drop_flow_if_idle(q, f);
}

/* Moves the entries behind the others that can't meet their target any more. */
static void move_late(struct squeue *q, uint64_t now_us)
{
	GSequenceIter *i = g_sequence_get_begin_iter(q->by_due);

	while (!g_sequence_iter_is_end(i)) {
		struct squeue_entry *e = g_sequence_get(i);

		if (latest_start_us(e) >= now_us)
			return;
		i = g_sequence_iter_next(i);
		g_sequence_remove(e->at_due);
		e->at_due = NULL;
		e->late = true;
		g_sequence_sort_changed(e->at, compare_entries, NULL);
	}
}

/* The first entry; NULL: the queue is empty. */
struct squeue_entry *squeue_first(struct squeue *q, uint64_t now_us)
{
	GSequenceIter *i;

	move_late(q, now_us);
	i = g_sequence_get_begin_iter(q->order);
	return g_sequence_iter_is_end(i) ? NULL : g_sequence_get(i);
}

/* The entry after that one; NULL: it is the last. */
struct squeue_entry *squeue_next(const struct squeue_entry *e)
{
	GSequenceIter *i = g_sequence_iter_next(e->at);

	return g_sequence_iter_is_end(i) ? NULL : g_sequence_get(i);
}

/* The number of entries. */
unsigned squeue_length(const struct squeue *q)
{
	return (unsigned)g_sequence_get_length(q->order);
}

/* Reads and writes alike wait for the primary if no replica may run reads. */
static uint64_t primary_wait_us(const struct squeue_forecast *f,
				const struct squeue_room *room)
{
	uint64_t work_us = room->primary_work_us + f->primary_work_us;

	if (!room->primary_slots)
		return UINT64_MAX;
	if (!room->replica_slots)
		work_us += f->read_work_us;
	return work_us / room->primary_slots;
}

/* Reads go where they start first. */
static uint64_t read_wait_us(const struct squeue_forecast *f,
			     const struct squeue_room *room)
{
	unsigned slots = room->primary_slots + room->replica_slots;
	uint64_t work_us = room->primary_work_us + room->replica_work_us +
			   f->primary_work_us + f->read_work_us;
	uint64_t at_replicas_us;

	if (!room->replica_slots)
		return primary_wait_us(f, room);
	at_replicas_us =
		(room->replica_work_us + f->read_work_us) / room->replica_slots;
	return MIN(work_us / slots, at_replicas_us);
}

/* Predicts how long an entry waits behind those visited before. */
uint64_t squeue_forecast_us(struct squeue_forecast *f,
			    const struct squeue_entry *e,
			    const struct squeue_room *room)
{
	uint64_t wait_us = e->primary_only ? primary_wait_us(f, room) :
					     read_wait_us(f, room);

	if (e->primary_only)
		f->primary_work_us += e->cost_us;
	else
		f->read_work_us += e->cost_us;
	return wait_us;
}

static struct squeue_count *count_of(GHashTable *counts,
				     const struct squeue_entry *e)
{
	char *key = g_strdup_printf("%u %s", e->priority, e->flow->account);
	struct squeue_count *c = g_hash_table_lookup(counts, key);

	if (c) {
		g_free(key);
		return c;
	}
	c = g_new0(struct squeue_count, 1);
	c->account = e->flow->account;
	c->priority = e->priority;
	g_hash_table_insert(counts, key, c);
	return c;
}

/* Counts the entries by account and priority. */
void squeue_each_count(const struct squeue *q,
		       void (*fn)(const struct squeue_count *count, void *ctx),
		       void *ctx)
{
	GHashTable *counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	GSequenceIter *i = g_sequence_get_begin_iter(q->order);
	GHashTableIter iter;
	gpointer value;

	for (; !g_sequence_iter_is_end(i); i = g_sequence_iter_next(i)) {
		const struct squeue_entry *e = g_sequence_get(i);
		struct squeue_count *c = count_of(counts, e);

		c->n++;
		c->work_us += e->cost_us;
	}
	g_hash_table_iter_init(&iter, counts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(value, ctx);
	g_hash_table_destroy(counts);
}
