#define LOG_MODULE "member"
#include "member_internal.h"

#include <celeryquay/base/log.h>

#include <string.h>
#include <xxhash.h>

/* Longer messages are rejected, whatever the sender's max_message_bytes. */
#define MESSAGE_MAX_BYTES 65536
/* Capacity of the token bucket, and its largest debt: max_bytes_per_s times. */
#define BURST_S 2
/* Bytes of each message that cost no tokens: a probe or ack without claims. */
#define UNCHARGED_BYTES 100
/* Longer than regions are expected to be partitioned from each other. */
#define FORGET_DEAD_S 10800ULL
#define FORGET_INTERVAL_US (10 * USEC_PER_SEC)
/* Shortest time between contradictions sent to one member. */
#define CONTRADICT_INTERVAL_US (500 * USEC_PER_MSEC)

/*
 * Defaults for up to some thousands of members. A node sends two probes and
 * answers two per second, of about 80 bytes each; the rest of the traffic is
 * gossip. The probe timeouts allow for a round trip between regions of up to
 * 300 ms, or 600 ms by way of a third node.
 */
void member_settings_default(struct member_settings *s)
{
	*s = (struct member_settings){
		.probe_interval_us = 500 * USEC_PER_MSEC,
		.probe_timeout_us = 400 * USEC_PER_MSEC,
		.suspect_timeout_us = USEC_PER_SEC,
		.dead_retention_us = FORGET_DEAD_S * USEC_PER_SEC,
		.dead_probe_interval_us = 5 * USEC_PER_SEC,
		.gossip_interval_us = 200 * USEC_PER_MSEC,
		.sync_interval_us = 5 * USEC_PER_SEC,
		.indirect_probes = 3,
		.gossip_fanout = 3,
		.max_message_bytes = 1200,
		.max_bytes_per_s = 6000,
		.max_join_bytes_per_s = 10000,
	};
}

/* Short identifier of a member in lists of suspecters and bucket digests. */
uint32_t member_name_hash(struct str name)
{
	return XXH32(name.data, name.len, 0);
}

/*
 * Hash of the properties that a process never changes. It covers the first
 * incarnation, so that a restart differs from a refutation, and a claim that
 * carries only the hash is applied to the record of the right process.
 */
uint32_t member_process_hash(const struct member_info *info)
{
	uint64_t words[4] = { info->peer_port, info->incarnation,
			      info->version_min, info->version_max };
	uint32_t hash = XXH32(words, sizeof(words), 0);

	hash = XXH32(info->host, strlen(info->host), hash);
	hash = XXH32(info->data_centre, strlen(info->data_centre), hash);
	hash = XXH32(info->region, strlen(info->region), hash);
	return XXH32(info->curve_public, strlen(info->curve_public), hash);
}

/*
 * Timeouts grow up to fourfold while this node's probes of members that nobody
 * else suspects fail.
 */
uint64_t member_scale_timeout(const struct members *m, uint64_t us)
{
	return us * (1 + m->health_penalty);
}

static void add_self(struct members *m, const struct member_info *info,
		     uint64_t now_us)
{
	struct claim claim = {
		.name = str_from_c(info->name),
		.incarnation = info->incarnation,
		.state = MEMBER_ALIVE,
		.process_hash = member_process_hash(info),
		.full = true,
		.host = str_from_c(info->host),
		.port = info->peer_port,
		.data_centre = str_from_c(info->data_centre),
		.region = str_from_c(info->region),
		.curve_public = str_from_c(info->curve_public),
		.version_min = info->version_min,
		.version_max = info->version_max,
	};

	m->self = member_table_add(m, &claim);
	m->self->state_since_us = now_us;
	member_gossip_add(m, m->self, true);
}

/*
 * Creates a table with this node alone. ops, ctx and rng must outlive it;
 * settings and self are copied. The incarnation is the start time in ms since
 * 1970.
 */
struct members *members_create(const struct member_settings *settings,
			       const struct member_info *self,
			       const struct member_ops *ops, void *ctx,
			       GRand *rng, uint64_t now_us)
{
	struct members *m = g_new0(struct members, 1);

	m->settings = *settings;
	m->ops = ops;
	m->ctx = ctx;
	m->rng = rng;
	m->table = g_ptr_array_new_with_free_func(g_free);
	m->suspects = g_ptr_array_new();
	m->missing_names = g_array_new(FALSE, FALSE, sizeof(struct str));
	m->last_tick_at_us = m->refilled_at_us = now_us;
	m->tokens = (int64_t)BURST_S * settings->max_bytes_per_s;
	m->next_forget_at_us = now_us + FORGET_INTERVAL_US;
	member_ring_init(m);
	add_self(m, self, now_us);
	member_probe_init(m, now_us);
	member_sync_init(m, now_us);
	return m;
}

/* Frees the table; sends nothing to the other members. */
void members_destroy(struct members *m)
{
	if (!m)
		return;
	member_probe_clear(m);
	member_ring_clear(m);
	g_array_free(m->missing_names, TRUE);
	g_ptr_array_free(m->suspects, TRUE);
	g_ptr_array_free(m->table, TRUE);
	g_free(m);
}

/*
 * Adds an address to ping for as long as no present member has it, so that this
 * node finds the first member, or members it has lost.
 */
void members_add_seed(struct members *m, const char *host, uint16_t peer_port,
		      uint64_t now_us)
{
	const struct member_info *self = &m->self->info;

	if (peer_port == self->peer_port && !strcmp(host, self->host))
		return;
	member_reconnect_add_seed(m, host, peer_port);
	if (m->n_live == 1)
		m->prober.next_seed_at_us =
			MIN(m->prober.next_seed_at_us, now_us);
}

static void refill(struct members *m, uint64_t now_us)
{
	int64_t max_tokens = (int64_t)BURST_S * m->settings.max_bytes_per_s;
	uint64_t elapsed_us =
		MIN(now_us - m->refilled_at_us, BURST_S * USEC_PER_SEC);
	uint64_t bytes =
		elapsed_us * m->settings.max_bytes_per_s / USEC_PER_SEC;

	if (!bytes)
		return;
	m->tokens = MIN(m->tokens + (int64_t)bytes, max_tokens);
	m->refilled_at_us = now_us;
}

/*
 * Packs and sends, with queued gossip as far as size and budget allow. Probes
 * and acks without claims cost no tokens: their number is bounded by the probe
 * interval, and a seed that all others ping at once must go on answering.
 */
void member_send(struct members *m, const struct member_info *to,
		 struct outgoing *o)
{
	int64_t max_tokens = (int64_t)BURST_S * m->settings.max_bytes_per_s;
	GBytes *bytes;
	size_t len;

	member_gossip_fill(m, o);
	bytes = outgoing_pack(o, m);
	len = g_bytes_get_size(bytes);
	if (len > UNCHARGED_BYTES)
		m->tokens -= (int64_t)(len - UNCHARGED_BYTES);
	m->tokens = MAX(m->tokens, -max_tokens);
	m->bytes_sent += len;
	m->ops->send(m->ctx, to, bytes);
	g_bytes_unref(bytes);
	outgoing_clear(o);
}

/*
 * After a process was paused or its event loop blocked, all its probes look
 * unanswered and all suspicions look expired, although the fault was its own.
 * So running probes are dropped without a result, the suspicion timeouts are
 * extended by the pause, and timeouts stay long until own probes succeed.
 */
static void check_pause(struct members *m, uint64_t now_us)
{
	uint64_t gap_us = now_us - m->last_tick_at_us;

	m->last_tick_at_us = now_us;
	if (gap_us <= m->settings.probe_timeout_us)
		return;
	LOG_INFO("did not execute for %u ms, holding back suspicions",
		 (unsigned)(gap_us / USEC_PER_MSEC));
	member_probe_abandon(m);
	member_suspicion_shift(m, gap_us, now_us);
	m->health_penalty = MEMBER_HEALTH_PENALTY_MAX;
}

/*
 * Runs what is due; to be called at least every 100 ms. A gap between calls
 * above the probe timeout is taken for a pause of this process.
 */
void members_tick(struct members *m, uint64_t now_us)
{
	if (m->left)
		return;
	check_pause(m, now_us);
	refill(m, now_us);
	member_ring_update(m);
	member_probe_tick(m, now_us);
	member_suspicion_tick(m, now_us);
	member_gossip_tick(m, now_us);
	member_sync_tick(m, now_us);
	if (now_us < m->next_forget_at_us)
		return;
	m->next_forget_at_us = now_us + FORGET_INTERVAL_US;
	member_table_forget(m, now_us);
}

static enum claim_source claims_source(const struct message *msg)
{
	switch (msg->type) {
	case MESSAGE_JOIN_PART:
	case MESSAGE_DIFF:
	case MESSAGE_RECORDS:
		return CLAIM_SYNC;
	default:
		return CLAIM_GOSSIP;
	}
}

/* Whom to answer: the member from the table, else as the message says. */
static void sender_info(struct members *m, const struct message *msg,
			struct member_info *out)
{
	const struct claim *c = &msg->sender;
	const struct member *member = member_table_find(m, c->name);

	if (member && member->info.peer_port == c->port &&
	    str_eq(str_from_c(member->info.host), c->host)) {
		*out = member->info;
		return;
	}
	memset(out, 0, sizeof(*out));
	memcpy(out->name, c->name.data, c->name.len);
	memcpy(out->host, c->host.data, c->host.len);
	out->peer_port = c->port;
}

static void handle_claims(struct members *m, const struct message *msg,
			  uint64_t now_us)
{
	enum claim_source source = claims_source(msg);
	uint32_t sender_hash = member_name_hash(msg->sender.name);
	unsigned i;

	for (i = 0; i < msg->claims->len; i++) {
		const struct claim *c =
			&g_array_index(msg->claims, struct claim, i);
		bool own = str_eq(c->name, msg->sender.name);

		member_on_claim(m, c, own ? CLAIM_DIRECT : source, sender_hash,
				now_us);
	}
	member_on_claim(m, &msg->sender, CLAIM_DIRECT, sender_hash, now_us);
}

/*
 * Answers a sender that this node regards as dead or suspect, or of which it
 * knows a higher incarnation, with that claim. The sender may not know of it,
 * as after a partition, and has to be told before it can refute it.
 */
static void contradict(struct members *m, struct member *sender,
		       const struct message *msg, uint64_t now_us)
{
	enum member_state state = sender->info.state;
	bool higher = sender->info.incarnation > msg->sender.incarnation;
	struct outgoing o;

	if (msg->type == MESSAGE_PING || state == MEMBER_LEFT)
		return;
	if (!higher && state != MEMBER_DEAD && state != MEMBER_SUSPECT)
		return;
	if (now_us - sender->contradicted_at_us < CONTRADICT_INTERVAL_US)
		return;
	sender->contradicted_at_us = now_us;
	outgoing_init(&o, m, MESSAGE_GOSSIP);
	outgoing_claim(&o, sender, false, m->settings.max_message_bytes);
	member_send(m, &sender->info, &o);
}

static void dispatch_message(struct members *m, const struct message *msg,
			     size_t len, const struct member_info *from,
			     uint64_t now_us)
{
	switch (msg->type) {
	case MESSAGE_PING:
		member_on_ping(m, msg, from);
		break;
	case MESSAGE_ACK:
		member_on_ack(m, msg, now_us);
		break;
	case MESSAGE_PING_REQ:
		member_on_ping_req(m, msg, from, now_us);
		break;
	case MESSAGE_JOIN_REQUEST:
		member_on_join_request(m, msg, from);
		break;
	case MESSAGE_JOIN_PART:
		member_on_join_part(m, msg, len, now_us);
		break;
	case MESSAGE_DIGEST:
		member_on_digest(m, msg, from, now_us);
		break;
	case MESSAGE_DIFF:
		member_on_diff(m, msg, from, now_us);
		break;
	case MESSAGE_RECORD_REQUEST:
		member_on_record_request(m, msg, from);
		break;
	default: /* only claims, or a type from a later release */
		break;
	}
}

static void process_message(struct members *m, const struct message *msg,
			    size_t len, uint64_t now_us)
{
	struct member_info from;
	struct member *sender;

	g_array_set_size(m->missing_names, 0);
	handle_claims(m, msg, now_us);
	sender = member_table_find(m, msg->sender.name);
	sender_info(m, msg, &from);
	if (sender) {
		sender->heard_at_us = now_us;
		contradict(m, sender, msg, now_us);
	}
	dispatch_message(m, msg, len, &from, now_us);
	member_sync_request_records(m, &from);
}

/*
 * Handles a gossip message from an authenticated peer. Fails with BAD_MESSAGE
 * if it is malformed; nothing of it is then applied.
 */
bool members_on_message(struct members *m, struct str message, uint64_t now_us,
			struct err *err)
{
	struct message msg;
	struct unpack unpack;
	bool ok;

	if (message.len > MESSAGE_MAX_BYTES) {
		err_set(err, ERR_BAD_MESSAGE, "gossip: too long, %zu bytes",
			message.len);
		return false;
	}
	if (!unpack_open(&unpack, message, err))
		return false;
	ok = message_parse(&msg, &unpack, err);
	if (ok && !m->left &&
	    !str_eq(msg.sender.name, str_from_c(m->self->info.name)))
		process_message(m, &msg, message.len, now_us);
	if (ok)
		message_clear(&msg);
	unpack_close(&unpack);
	return ok;
}

/*
 * Other traffic from the member shows that it is alive: ends running probes of
 * it as successful, and probes it soon if it is suspect or dead here.
 */
void members_on_alive(struct members *m, const char *name, uint64_t now_us)
{
	struct member *member = member_table_find(m, str_from_c(name));

	if (!member || member == m->self)
		return;
	member->heard_at_us = now_us;
	member_probe_alive(m, member);
	if (member->info.state == MEMBER_SUSPECT ||
	    member->info.state == MEMBER_DEAD)
		member_probe_verify(m, member);
}

/*
 * Announces that this node is leaving. It is given no new work from now on, but
 * still sends and answers messages.
 */
void members_leave(struct members *m, uint64_t now_us)
{
	if (m->left || m->self->info.state == MEMBER_LEAVING)
		return;
	member_self_change(m, MEMBER_LEAVING, m->self->info.incarnation + 1,
			   now_us);
}

/*
 * Announces that the process exits to a few members, which pass it on. Nothing
 * is sent or handled after this.
 */
void members_announce_exit(struct members *m, uint64_t now_us)
{
	if (m->left)
		return;
	member_self_change(m, MEMBER_LEFT, m->self->info.incarnation + 1,
			   now_us);
	member_gossip_tick(m, now_us);
	m->left = true;
}

/* Rows of the table, including this node and members dead or left. */
unsigned members_count(const struct members *m)
{
	return m->table->len;
}

/* The i-th member by name; valid until it is removed from the table. */
const struct member_info *members_at(const struct members *m, unsigned i)
{
	const struct member *member;

	if (i >= m->table->len)
		return NULL;
	member = g_ptr_array_index(m->table, i);
	return &member->info;
}

/* Number of members that this node regularly exchanges messages with. */
unsigned members_neighbour_count(const struct members *m)
{
	return m->rings.neighbours->len;
}

/* One of the neighbours; it may have died or left since the last tick. */
const struct member_info *members_neighbour(const struct members *m, unsigned i)
{
	const struct member *member;

	if (i >= m->rings.neighbours->len)
		return NULL;
	member = g_ptr_array_index(m->rings.neighbours, i);
	return &member->info;
}

/* The member of this name, NULL if there is none. */
const struct member_info *members_find(const struct members *m,
				       const char *name)
{
	struct member *member =
		member_table_find((struct members *)m, str_from_c(name));

	return member ? &member->info : NULL;
}

/* This node's own row, as announced to the others. */
const struct member_info *members_self(const struct members *m)
{
	return &m->self->info;
}

/* Whether the member may be given work: it is alive or suspect. */
bool member_is_live(const struct member_info *m)
{
	return m->state == MEMBER_ALIVE || m->state == MEMBER_SUSPECT;
}

/* Whether the table is complete enough to place work by. */
bool members_joined(const struct members *m)
{
	return m->syncer.joined;
}

/* Rises with each change, so that a caller can tell if the table changed. */
uint64_t members_change_count(const struct members *m)
{
	return m->changes;
}

/* Total bytes of messages sent, without the transport's overhead. */
uint64_t members_bytes_sent(const struct members *m)
{
	return m->bytes_sent;
}
