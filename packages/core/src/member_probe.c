#include "member_internal.h"

#include <stdio.h>
#include <string.h>

/*
 * Timeout of indirect pings over that of the direct one, as they take two more
 * one-way trips.
 */
#define INDIRECT_TIMEOUT_FACTOR 1.5
/* Between probes that are started out of turn. */
#define VERIFY_INTERVAL_US (100 * USEC_PER_MSEC)
/* How long an ack is relayed; longer than any prober waits for it. */
#define RELAY_TIMEOUT_US (5 * USEC_PER_SEC)

/* Initializes the prober; the first probe starts within one interval. */
void member_probe_init(struct members *m, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	double share = g_rand_double(m->rng);

	p->seeds = g_array_new(FALSE, TRUE, sizeof(struct member_seed));
	g_queue_init(&p->verify);
	p->seq = g_rand_int(m->rng) | 1;
	p->next_probe_at_us =
		now_us +
		(uint64_t)(share * (double)m->settings.probe_interval_us);
	p->next_dead_at_us =
		now_us +
		(uint64_t)(share * (double)m->settings.dead_probe_interval_us);
	p->next_seed_at_us = now_us;
}

/* Frees the prober's lists. */
void member_probe_clear(struct members *m)
{
	g_array_free(m->prober.seeds, TRUE);
	g_queue_clear(&m->prober.verify);
}

/* Drops all references to a member that is removed from the table. */
void member_probe_forget(struct members *m, struct member *member)
{
	struct member_prober *p = &m->prober;
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (p->probes[i].member == member)
			p->probes[i].member = NULL;
	}
	if (member->verifying)
		g_queue_remove(&p->verify, member);
}

/* Queues the member to be probed out of turn. */
void member_probe_verify(struct members *m, struct member *member)
{
	struct member_prober *p = &m->prober;

	if (member->verifying || p->verify.length >= MEMBER_VERIFY_MAX)
		return;
	member->verifying = true;
	g_queue_push_tail(&p->verify, member);
}

/* Drops running probes without a result, after a pause of this process. */
void member_probe_abandon(struct members *m)
{
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++)
		m->prober.probes[i].member = NULL;
}

/* A sequence number for a ping, never 0. */
uint32_t member_next_seq(struct members *m)
{
	m->prober.seq++;
	if (!m->prober.seq)
		m->prober.seq = 1;
	return m->prober.seq;
}

/*
 * Sends a ping. If member is not alive in the table, the ping carries that
 * claim, so that the member can refute it. member is NULL for a seed.
 */
void member_ping(struct members *m, const struct member_info *to,
		 const struct member *member, uint32_t seq)
{
	struct outgoing o;

	outgoing_init(&o, m, MESSAGE_PING);
	o.seq = seq;
	if (member) {
		o.target = member->info.name;
		if (member->info.state != MEMBER_ALIVE)
			outgoing_claim(&o, member, false,
				       m->settings.max_message_bytes);
	}
	o.want_full = !member;
	if (!member || !m->syncer.joined)
		outgoing_claim(&o, m->self, true,
			       m->settings.max_message_bytes);
	member_send(m, to, &o);
}

static struct member_probe *free_slot(struct members *m)
{
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		if (!m->prober.probes[i].member)
			return &m->prober.probes[i];
	}
	return NULL;
}

static void probe_start(struct members *m, struct member *member,
			uint64_t now_us)
{
	struct member_probe *probe = free_slot(m);
	uint64_t timeout_us =
		member_scale_timeout(m, m->settings.probe_timeout_us);

	if (!probe)
		return;
	probe->member = member;
	probe->seq = member_next_seq(m);
	probe->was_suspected = member->suspected;
	probe->indirect_sent = false;
	probe->indirect_at_us = now_us + timeout_us;
	probe->fails_at_us =
		probe->indirect_at_us +
		(uint64_t)(INDIRECT_TIMEOUT_FACTOR * (double)timeout_us);
	member_ping(m, &member->info, member, probe->seq);
}

static void send_ping_req(struct members *m, struct member_probe *probe,
			  struct member *to)
{
	const struct member_info *target = &probe->member->info;
	struct outgoing o;

	outgoing_init(&o, m, MESSAGE_PING_REQ);
	o.seq = probe->seq;
	o.target = target->name;
	o.target_host = target->host;
	o.target_port = target->peer_port;
	member_send(m, &to->info, &o);
}

/* Asks neighbours, which may reach the member by another route, to ping it. */
static void send_ping_reqs(struct members *m, struct member_probe *probe)
{
	GPtrArray *list = m->rings.neighbours;
	unsigned left = m->settings.indirect_probes;
	unsigned i, start = g_rand_int(m->rng) % MAX(list->len, 1);

	probe->indirect_sent = true;
	for (i = 0; i < list->len && left; i++) {
		struct member *to =
			g_ptr_array_index(list, (start + i) % list->len);

		if (to == probe->member || !member_is_present(to))
			continue;
		send_ping_req(m, probe, to);
		left--;
	}
}

/*
 * Neither the member answered nor one of the nodes asked to ping it. When many
 * probes of members fail that nobody else suspects, this node itself is likely
 * cut off or overloaded. Its timeouts grow, so that it suspects fewer members.
 */
static void probe_failed(struct members *m, struct member_probe *probe,
			 uint64_t now_us)
{
	struct member *member = probe->member;

	probe->member = NULL;
	if (!probe->was_suspected && !member->suspected &&
	    m->health_penalty < MEMBER_HEALTH_PENALTY_MAX)
		m->health_penalty++;
	member_suspect(m, member, now_us);
}

static void probes_advance(struct members *m, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *probe = &m->prober.probes[i];

		if (!probe->member)
			continue;
		if (!probe->indirect_sent && now_us >= probe->indirect_at_us)
			send_ping_reqs(m, probe);
		if (now_us >= probe->fails_at_us)
			probe_failed(m, probe, now_us);
	}
}

/* Ends running probes of the member as successful. */
void member_probe_alive(struct members *m, struct member *member)
{
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *probe = &m->prober.probes[i];

		if (probe->member != member)
			continue;
		probe->member = NULL;
		if (m->health_penalty)
			m->health_penalty--;
	}
}

/*
 * Probes the next target. Without any target it pings a dead member: a node
 * that was cut off alone regards all others as dead and must find them quickly.
 */
static void probe_next_target(struct members *m, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	struct member *member;

	if (now_us < p->next_probe_at_us)
		return;
	p->next_probe_at_us += m->settings.probe_interval_us;
	if (p->next_probe_at_us <= now_us)
		p->next_probe_at_us = now_us + m->settings.probe_interval_us;
	member = member_ring_next_target(m);
	if (member) {
		probe_start(m, member, now_us);
		return;
	}
	member_reconnect_dead(m);
}

static void verify_next(struct members *m, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	struct member *member;

	if (now_us < p->next_verify_at_us || !p->verify.length)
		return;
	p->next_verify_at_us = now_us + VERIFY_INTERVAL_US;
	member = g_queue_pop_head(&p->verify);
	member->verifying = false;
	if (member_is_present(member))
		probe_start(m, member, now_us);
	else
		member_ping(m, &member->info, member, member_next_seq(m));
}

/* Advances running probes and starts those that are due. */
void member_probe_tick(struct members *m, uint64_t now_us)
{
	probes_advance(m, now_us);
	probe_next_target(m, now_us);
	verify_next(m, now_us);
	member_reconnect_tick(m, now_us);
}

/* Answers a ping, unless it is for an earlier owner of this address. */
void member_on_ping(struct members *m, const struct message *msg,
		    const struct member_info *from)
{
	struct outgoing o;
	struct member *sender;

	if (msg->target.len &&
	    !str_eq(msg->target, str_from_c(m->self->info.name)))
		return;
	outgoing_init(&o, m, MESSAGE_ACK);
	o.seq = msg->seq;
	if (msg->want_full) {
		outgoing_claim(&o, m->self, true,
			       m->settings.max_message_bytes);
		member_sync_add_referrals(m, &o);
	}
	sender = member_table_find(m, msg->sender.name);
	if (sender && (sender->info.state != MEMBER_ALIVE ||
		       sender->info.incarnation > msg->sender.incarnation))
		outgoing_claim(&o, sender, false,
			       m->settings.max_message_bytes);
	member_send(m, from, &o);
}

static void copy_name(char *to, size_t size, struct str from)
{
	g_snprintf(to, size, "%.*s", (int)from.len, from.data);
}

/* Pings the target on behalf of the sender, to which the ack is relayed. */
void member_on_ping_req(struct members *m, const struct message *msg,
			const struct member_info *from, uint64_t now_us)
{
	struct member_prober *p = &m->prober;
	struct member_relay *relay = &p->relays[p->next_relay];
	struct member *target = member_table_find(m, msg->target);
	struct outgoing o;
	struct member_info to = { .peer_port = msg->target_port };

	if (!msg->target.len || (!target && !msg->target_host.len))
		return;
	p->next_relay = (p->next_relay + 1) % MEMBER_RELAYS_MAX;
	relay->seq = member_next_seq(m);
	relay->origin_seq = msg->seq;
	g_strlcpy(relay->origin, from->name, sizeof(relay->origin));
	copy_name(relay->target, sizeof(relay->target), msg->target);
	relay->expires_at_us = now_us + RELAY_TIMEOUT_US;
	copy_name(to.name, sizeof(to.name), msg->target);
	copy_name(to.host, sizeof(to.host), msg->target_host);
	outgoing_init(&o, m, MESSAGE_PING);
	o.seq = relay->seq;
	o.target = relay->target;
	if (target && target->info.state != MEMBER_ALIVE)
		outgoing_claim(&o, target, false,
			       m->settings.max_message_bytes);
	member_send(m, target ? &target->info : &to, &o);
}

static void relay_ack(struct members *m, const struct message *msg,
		      uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < MEMBER_RELAYS_MAX; i++) {
		struct member_relay *relay = &m->prober.relays[i];
		struct member *origin;
		struct outgoing o;

		if (!relay->seq || relay->seq != msg->seq ||
		    now_us > relay->expires_at_us ||
		    !str_eq(msg->sender.name, str_from_c(relay->target)))
			continue;
		relay->seq = 0;
		origin = member_table_find(m, str_from_c(relay->origin));
		if (!origin)
			return;
		outgoing_init(&o, m, MESSAGE_ACK);
		o.seq = relay->origin_seq;
		o.target = relay->target;
		member_send(m, &origin->info, &o);
		return;
	}
}

/* Handles an ack to a probe, direct or relayed, or to a ping for another. */
void member_on_ack(struct members *m, const struct message *msg,
		   uint64_t now_us)
{
	struct str name = msg->target.len ? msg->target : msg->sender.name;
	unsigned i;

	for (i = 0; i < MEMBER_PROBES_MAX; i++) {
		struct member_probe *probe = &m->prober.probes[i];

		if (!probe->member || probe->seq != msg->seq ||
		    !str_eq(name, str_from_c(probe->member->info.name)))
			continue;
		probe->member->heard_at_us = now_us;
		member_probe_alive(m, probe->member);
		return;
	}
	relay_ack(m, msg, now_us);
}
