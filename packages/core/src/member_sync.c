#include "member_internal.h"

#include <string.h>

/* A starting node asks another member if a part has not arrived by then. */
#define PART_TIMEOUT_US USEC_PER_SEC
/*
 * How long a node looks for a complete table before it accepts parts of a table
 * that is itself still being fetched, as when all nodes start together.
 */
#define PARTIAL_WAIT_US (1500 * USEC_PER_MSEC)
/* Tries to find a random member of the own region. */
#define NEAR_TRIES 4
/* From this number of unknown names on, the whole table is fetched again. */
#define FETCH_AGAIN 8
/* A node whose seeds do not answer by then takes itself for the first one. */
#define ALONE_US (5 * USEC_PER_SEC)
/* After a difference the interval between comparisons is divided by this. */
#define HURRY 20
/* Every n-th comparison is with any member instead of a neighbour. */
#define FAR_DIGESTS 4
/* Random members sent to a starting node, which can then ask them. */
#define INTRODUCED 2
/*
 * Gossip is sent only from available tokens. Tables may go into debt by this
 * many seconds of max_bytes_per_s, and referrals by some more: sending changes
 * in bulk this way takes a fraction of the bytes, so gossip has to wait for it.
 */
#define TABLE_DEBT_S 1
#define INTRODUCE_DEBT_S 2
/* Delay of the next request after a part that did not advance the cursor. */
#define ASK_AGAIN_US (300 * USEC_PER_MSEC)

static bool spent(const struct members *m)
{
	return m->tokens <=
	       -(int64_t)TABLE_DEBT_S * m->settings.max_bytes_per_s;
}

/* Starts fetching the table; the first comparison is at a random time. */
void member_sync_init(struct members *m, uint64_t now_us)
{
	double share = g_rand_double(m->rng);
	double interval = (double)m->settings.sync_interval_us;

	m->syncer.fetching = true;
	m->syncer.started_us = m->syncer.progress_us = now_us;
	m->syncer.next_us = now_us;
	m->syncer.next_digest_us = now_us + (uint64_t)(share * interval);
	m->syncer.digest_gap_us = m->settings.sync_interval_us;
}

/*
 * The member to request the next part from: the same one for as long as it
 * answers, as opening a connection costs more than a part; else a random
 * member, preferably of the own region.
 */
static struct member *join_from(struct members *m)
{
	struct member *member =
		member_table_find(m, str_from_c(m->syncer.source));
	unsigned i;

	if (member && member_takes_part(member))
		return member;
	for (i = 0; i < NEAR_TRIES; i++) {
		member = member_table_random(m, member_takes_part);
		if (!member ||
		    !strcmp(member->info.region, m->self->info.region))
			break;
	}
	return member;
}

static void join_tick(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;
	struct member *to;
	struct outgoing o;

	if (now_us < s->next_us)
		return;
	if (s->asking)
		s->source[0] = '\0'; /* no answer */
	to = join_from(m);
	if (!to) {
		s->joined |= !m->prober.seeds->len ||
			     now_us - s->started_us >= ALONE_US;
		return;
	}
	g_strlcpy(s->source, to->info.name, sizeof(s->source));
	s->asking = true;
	s->asked_us = now_us;
	s->next_us = now_us + PART_TIMEOUT_US;
	outgoing_init(&o, m, MESSAGE_JOIN_ASK);
	o.cursor = s->cursor;
	outgoing_claim(&o, m->self, true, m->settings.max_message_bytes);
	member_send(m, &to->info, &o);
}

static void hurry(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;

	s->digest_gap_us = m->settings.sync_interval_us / HURRY;
	s->next_digest_us = MIN(s->next_digest_us, now_us + s->digest_gap_us);
}

/*
 * Compares tables with a neighbour, and at times with any member. Gossip may be
 * lost, and after a partition each side has much that the other lacks; the
 * comparison makes the tables equal whatever was lost.
 */
static void digest_tick(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;
	struct member *to;
	struct outgoing o;

	if (now_us < s->next_digest_us)
		return;
	s->digest_gap_us =
		MIN(2 * s->digest_gap_us, m->settings.sync_interval_us);
	s->next_digest_us = now_us + s->digest_gap_us;
	to = ++s->digests % FAR_DIGESTS ?
		     member_ring_random(m) :
		     member_table_random(m, member_takes_part);
	if (!to || spent(m))
		return;
	outgoing_init(&o, m, MESSAGE_DIGEST);
	o.buckets = m->buckets;
	o.size += sizeof(m->buckets);
	member_send(m, &to->info, &o);
}

/* Fetches the whole table at the start, then compares it periodically. */
void member_sync_tick(struct members *m, uint64_t now_us)
{
	if (m->syncer.fetching)
		join_tick(m, now_us);
	if (m->syncer.joined)
		digest_tick(m, now_us);
}

/*
 * Adds full claims of a few random members. A starting node knows only its
 * seeds; when many start together, the seeds cannot send the table to all of
 * them, but can refer them to each other.
 */
void member_introduce(struct members *m, struct outgoing *o)
{
	int64_t debt = (int64_t)INTRODUCE_DEBT_S * m->settings.max_bytes_per_s;
	unsigned i;

	for (i = 0; i < INTRODUCED && m->tokens > -debt; i++) {
		struct member *other =
			member_table_random(m, member_takes_part);

		if (other)
			outgoing_claim(o, other, true,
				       m->settings.max_message_bytes);
	}
}

/*
 * Answers with the members whose names come after the cursor; if the byte
 * budget is used up, with members to ask instead.
 */
void member_on_join_ask(struct members *m, const struct message *msg,
			const struct member_info *from)
{
	struct outgoing o;
	unsigned i;

	outgoing_init(&o, m, MESSAGE_JOIN_PART);
	o.partial = m->syncer.fetching;
	o.size += MEMBER_NAME_MAX;
	if (spent(m)) {
		member_introduce(m, &o);
		member_send(m, from, &o);
		return;
	}
	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (str_cmp(str_from_c(member->info.name), msg->cursor) <= 0)
			continue;
		if (member_takes_part(member) &&
		    !outgoing_claim(&o, member, true,
				    m->settings.max_message_bytes))
			break;
		o.cursor = member->info.name;
	}
	o.last = i == m->table->len;
	member_send(m, from, &o);
}

/*
 * Requests the next part once the claims of this one were handled, not faster
 * than max_join_bytes_per_s allows. The table of a sender that is still
 * fetching has gaps, and advancing the cursor past them would leave them open
 * here; such a part is accepted only if no member with a complete table was
 * found, as when a whole fleet starts.
 */
void member_on_join_part(struct members *m, const struct message *msg,
			 size_t len, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;

	if (!s->fetching || !s->asking)
		return;
	s->asking = false;
	s->next_us = now_us + ASK_AGAIN_US;
	if (!msg->last && str_cmp(msg->cursor, str_from_c(s->cursor)) <= 0) {
		s->source[0] = '\0'; /* out of budget */
		return;
	}
	s->next_us = s->asked_us +
		     len * USEC_PER_SEC / m->settings.max_join_bytes_per_s;
	s->believe_partial = msg->partial &&
			     (s->believe_partial ||
			      now_us - s->progress_us >= PARTIAL_WAIT_US);
	if (msg->partial)
		s->source[0] = '\0';
	if (msg->partial && !s->believe_partial)
		return;
	s->progress_us = now_us;
	memcpy(s->cursor, msg->cursor.data, msg->cursor.len);
	s->cursor[msg->cursor.len] = '\0';
	if (!msg->last) {
		join_tick(m, now_us);
		return;
	}
	s->fetching = false;
	s->joined = true;
	hurry(m, now_us);
}

/* Fetches the whole table if too much is missing to request it by name. */
static void fetch_again(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;

	if (s->fetching)
		return;
	s->fetching = true;
	s->asking = false;
	s->cursor[0] = '\0';
	s->progress_us = s->next_us = now_us;
}

/* Adds the claims of all members of a bucket, or none if they do not fit. */
static bool add_bucket(struct members *m, struct outgoing *o, unsigned bucket)
{
	unsigned claims = o->claims->len;
	size_t size = o->size;
	unsigned i;

	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (member_bucket(member) != bucket ||
		    outgoing_claim(o, member, false,
				   m->settings.max_message_bytes))
			continue;
		/* A bucket too long for an empty message is sent in part. */
		if (!claims)
			return false;
		g_array_set_size(o->claims, claims);
		o->size = size;
		return false;
	}
	o->covered |= 1ULL << bucket;
	return true;
}

/* Answers with the claims of differing buckets, from a random one on. */
void member_on_digest(struct members *m, const struct message *msg,
		      const struct member_info *from, uint64_t now_us)
{
	unsigned start = g_rand_int(m->rng) % MEMBER_BUCKETS;
	struct outgoing o;
	unsigned i;

	if (!msg->has_buckets || spent(m) ||
	    !memcmp(msg->buckets, m->buckets, sizeof(m->buckets)))
		return;
	hurry(m, now_us);
	outgoing_init(&o, m, MESSAGE_DIFF);
	for (i = 0; i < MEMBER_BUCKETS; i++) {
		unsigned bucket = (start + i) % MEMBER_BUCKETS;

		if (msg->buckets[bucket] != m->buckets[bucket] &&
		    !add_bucket(m, &o, bucket))
			break;
	}
	member_send(m, from, &o);
}

static const struct claim *find_claim(const struct message *msg,
				      const struct member *member)
{
	struct str name = str_from_c(member->info.name);
	unsigned i;

	for (i = 0; i < msg->claims->len; i++) {
		const struct claim *c =
			&g_array_index(msg->claims, struct claim, i);

		if (str_eq(c->name, name))
			return c;
	}
	return NULL;
}

/* Whether this node's row is newer than the claim, which may be NULL. */
static bool is_ahead(const struct member *member, const struct claim *c)
{
	if (!c)
		return member_takes_part(member);
	if (c->incarnation != member->info.incarnation)
		return c->incarnation < member->info.incarnation;
	return member_is_gone(member->info.state) && !member_is_gone(c->state);
}

/*
 * Sends back what the sender lacks, after its claims were handled. Claims of
 * death are included; the receiver only takes them as a reason to probe.
 */
void member_on_diff(struct members *m, const struct message *msg,
		    const struct member_info *from, uint64_t now_us)
{
	struct outgoing o;
	unsigned i;

	hurry(m, now_us);
	if (m->wants->len >= FETCH_AGAIN)
		fetch_again(m, now_us);
	if (spent(m))
		return;
	outgoing_init(&o, m, MESSAGE_RECORDS);
	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);
		const struct claim *c;

		if (!(msg->covered >> member_bucket(member) & 1))
			continue;
		c = find_claim(msg, member);
		if (is_ahead(member, c) &&
		    !outgoing_claim(&o, member, !c,
				    m->settings.max_message_bytes))
			break;
	}
	if (o.claims->len)
		member_send(m, from, &o);
	else
		outgoing_clear(&o);
}

/* Requests the full claims of names that came in short claims. */
void member_sync_ask_records(struct members *m, const struct member_info *to)
{
	struct outgoing o;
	unsigned i;

	if (!m->wants->len || spent(m))
		return;
	outgoing_init(&o, m, MESSAGE_RECORD_ASK);
	for (i = 0; i < m->wants->len; i++)
		outgoing_name(&o, g_array_index(m->wants, struct str, i),
			      m->settings.max_message_bytes);
	member_send(m, to, &o);
}

/* Answers with the requested full claims, as many as fit. */
void member_on_record_ask(struct members *m, const struct message *msg,
			  const struct member_info *from)
{
	struct outgoing o;
	unsigned i;

	if (spent(m))
		return;
	outgoing_init(&o, m, MESSAGE_RECORDS);
	for (i = 0; i < msg->names->len; i++) {
		struct str name = g_array_index(msg->names, struct str, i);
		struct member *member = member_table_find(m, name);

		if (member)
			outgoing_claim(&o, member, true,
				       m->settings.max_message_bytes);
	}
	if (o.claims->len)
		member_send(m, from, &o);
	else
		outgoing_clear(&o);
}
