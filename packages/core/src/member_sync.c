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
#define SAME_REGION_TRIES 4
/* From this number of unknown names on, the whole table is fetched again. */
#define REFETCH_MIN_MISSING 8
/* A node whose seeds do not answer by then takes itself for the first one. */
#define SEED_WAIT_US (5 * USEC_PER_SEC)
/* After a difference the interval between comparisons is divided by this. */
#define FAST_SYNC_DIVISOR 20
/* Every n-th comparison is with any member instead of a neighbour. */
#define RANDOM_DIGEST_PERIOD 4
/* Random members sent to a starting node, which can then ask them. */
#define REFERRALS_MAX 2
/*
 * Gossip is sent only from available tokens. Tables may go into debt by this
 * many seconds of max_bytes_per_s, and referrals by some more: sending changes
 * in bulk this way takes a fraction of the bytes, so gossip has to wait for it.
 */
#define TABLE_DEBT_S 1
#define REFERRAL_DEBT_S 2
/* Delay of the next request after a part that did not advance the cursor. */
#define RETRY_DELAY_US (300 * USEC_PER_MSEC)

static bool over_budget(const struct members *m)
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
	m->syncer.started_at_us = m->syncer.progress_at_us = now_us;
	m->syncer.next_request_at_us = now_us;
	m->syncer.next_digest_at_us = now_us + (uint64_t)(share * interval);
	m->syncer.digest_delay_us = m->settings.sync_interval_us;
}

/*
 * The member to request the next part from: the same one for as long as it
 * answers, as opening a connection costs more than a part; else a random
 * member, preferably of the own region.
 */
static struct member *join_source(struct members *m)
{
	struct member *member =
		member_table_find(m, str_from_c(m->syncer.source));
	unsigned i;

	if (member && member_is_present(member))
		return member;
	for (i = 0; i < SAME_REGION_TRIES; i++) {
		member = member_table_random(m, member_is_present);
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

	if (now_us < s->next_request_at_us)
		return;
	if (s->awaiting_part)
		s->source[0] = '\0'; /* no answer */
	to = join_source(m);
	if (!to) {
		s->joined |= !m->prober.seeds->len ||
			     now_us - s->started_at_us >= SEED_WAIT_US;
		return;
	}
	g_strlcpy(s->source, to->info.name, sizeof(s->source));
	s->awaiting_part = true;
	s->requested_at_us = now_us;
	s->next_request_at_us = now_us + PART_TIMEOUT_US;
	outgoing_init(&o, m, MESSAGE_JOIN_REQUEST);
	o.cursor = s->cursor;
	outgoing_claim(&o, m->self, true, m->settings.max_message_bytes);
	member_send(m, &to->info, &o);
}

static void sync_sooner(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;

	s->digest_delay_us = m->settings.sync_interval_us / FAST_SYNC_DIVISOR;
	s->next_digest_at_us =
		MIN(s->next_digest_at_us, now_us + s->digest_delay_us);
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

	if (now_us < s->next_digest_at_us)
		return;
	s->digest_delay_us =
		MIN(2 * s->digest_delay_us, m->settings.sync_interval_us);
	s->next_digest_at_us = now_us + s->digest_delay_us;
	to = ++s->digests % RANDOM_DIGEST_PERIOD ?
		     member_ring_random(m) :
		     member_table_random(m, member_is_present);
	if (!to || over_budget(m))
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
void member_sync_add_referrals(struct members *m, struct outgoing *o)
{
	int64_t debt = (int64_t)REFERRAL_DEBT_S * m->settings.max_bytes_per_s;
	unsigned i;

	for (i = 0; i < REFERRALS_MAX && m->tokens > -debt; i++) {
		struct member *other =
			member_table_random(m, member_is_present);

		if (other)
			outgoing_claim(o, other, true,
				       m->settings.max_message_bytes);
	}
}

/*
 * Answers with the members whose names come after the cursor; if the byte
 * budget is used up, with members to ask instead.
 */
void member_on_join_request(struct members *m, const struct message *msg,
			    const struct member_info *from)
{
	struct outgoing o;
	unsigned i;

	outgoing_init(&o, m, MESSAGE_JOIN_PART);
	o.partial = m->syncer.fetching;
	o.size += MEMBER_NAME_MAX;
	if (over_budget(m)) {
		member_sync_add_referrals(m, &o);
		member_send(m, from, &o);
		return;
	}
	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);

		if (str_cmp(str_from_c(member->info.name), msg->cursor) <= 0)
			continue;
		if (member_is_present(member) &&
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

	if (!s->fetching || !s->awaiting_part)
		return;
	s->awaiting_part = false;
	s->next_request_at_us = now_us + RETRY_DELAY_US;
	if (!msg->last && str_cmp(msg->cursor, str_from_c(s->cursor)) <= 0) {
		s->source[0] = '\0'; /* out of budget */
		return;
	}
	s->next_request_at_us =
		s->requested_at_us +
		len * USEC_PER_SEC / m->settings.max_join_bytes_per_s;
	s->accept_partial = msg->partial &&
			    (s->accept_partial ||
			     now_us - s->progress_at_us >= PARTIAL_WAIT_US);
	if (msg->partial)
		s->source[0] = '\0';
	if (msg->partial && !s->accept_partial)
		return;
	s->progress_at_us = now_us;
	memcpy(s->cursor, msg->cursor.data, msg->cursor.len);
	s->cursor[msg->cursor.len] = '\0';
	if (!msg->last) {
		join_tick(m, now_us);
		return;
	}
	s->fetching = false;
	s->joined = true;
	sync_sooner(m, now_us);
}

/* Fetches the whole table if too much is missing to request it by name. */
static void refetch_table(struct members *m, uint64_t now_us)
{
	struct member_syncer *s = &m->syncer;

	if (s->fetching)
		return;
	s->fetching = true;
	s->awaiting_part = false;
	s->cursor[0] = '\0';
	s->progress_at_us = s->next_request_at_us = now_us;
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

	if (!msg->has_buckets || over_budget(m) ||
	    !memcmp(msg->buckets, m->buckets, sizeof(m->buckets)))
		return;
	sync_sooner(m, now_us);
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
static bool is_newer(const struct member *member, const struct claim *c)
{
	if (!c)
		return member_is_present(member);
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

	sync_sooner(m, now_us);
	if (m->missing_names->len >= REFETCH_MIN_MISSING)
		refetch_table(m, now_us);
	if (over_budget(m))
		return;
	outgoing_init(&o, m, MESSAGE_RECORDS);
	for (i = 0; i < m->table->len; i++) {
		struct member *member = g_ptr_array_index(m->table, i);
		const struct claim *c;

		if (!(msg->covered >> member_bucket(member) & 1))
			continue;
		c = find_claim(msg, member);
		if (is_newer(member, c) &&
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
void member_sync_request_records(struct members *m,
				 const struct member_info *to)
{
	struct outgoing o;
	unsigned i;

	if (!m->missing_names->len || over_budget(m))
		return;
	outgoing_init(&o, m, MESSAGE_RECORD_REQUEST);
	for (i = 0; i < m->missing_names->len; i++)
		outgoing_name(&o,
			      g_array_index(m->missing_names, struct str, i),
			      m->settings.max_message_bytes);
	member_send(m, to, &o);
}

/* Answers with the requested full claims, as many as fit. */
void member_on_record_request(struct members *m, const struct message *msg,
			      const struct member_info *from)
{
	struct outgoing o;
	unsigned i;

	if (over_budget(m))
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
