#include "member_internal.h"

#include <math.h>

/*
 * The gossip queue: members whose changes are passed on, ordered by how often
 * they were sent, so that what few nodes have seen goes first. After about
 * 4 * log10(n) sends nearly all nodes have a change; the comparison of tables
 * repairs the rest.
 */

/* Sends per change, and as many again for each tenfold number of members. */
#define SENDS_FACTOR 4
/* Fewest sends per change, however long the queue is. */
#define SENDS_MIN 2
/* The queue should be drained within this time. */
#define QUEUE_DRAIN_S 5
/* Approximate packed sizes of short and full claims. */
#define SHORT_CLAIM_BYTES 30
#define FULL_CLAIM_BYTES 110

/*
 * How often each change is sent. When a partition between regions heals, or a
 * whole fleet starts, all members change at once, and sending each as often as
 * usual would use up the byte budget for minutes. Then each is sent only a few
 * times; the comparison of tables carries the bulk at a fraction of the bytes.
 */
static unsigned sends_limit(const struct members *m)
{
	const struct member_gossip *gossip = &m->gossip;
	double n = m->n_live > 1 ? (double)m->n_live : 1;
	unsigned limit = SENDS_FACTOR + (unsigned)(SENDS_FACTOR * log10(n));
	unsigned bytes =
		gossip->count * SHORT_CLAIM_BYTES +
		gossip->n_full * (FULL_CLAIM_BYTES - SHORT_CLAIM_BYTES);
	unsigned fits =
		QUEUE_DRAIN_S * m->settings.max_bytes_per_s / MAX(bytes, 1);

	limit = MIN(limit, MEMBER_GOSSIP_LEVELS - 1);
	return CLAMP(fits, MIN(SENDS_MIN, limit), limit);
}

static void queue_unlink(struct member_gossip *gossip, struct member *member)
{
	unsigned level = member->gossip_sends;

	if (member->gossip_prev)
		member->gossip_prev->gossip_next = member->gossip_next;
	else
		gossip->head[level] = member->gossip_next;
	if (member->gossip_next)
		member->gossip_next->gossip_prev = member->gossip_prev;
	else
		gossip->tail[level] = member->gossip_prev;
	member->gossip_prev = member->gossip_next = NULL;
	member->gossip_queued = false;
	gossip->count--;
	gossip->n_full -= member->gossip_full;
}

static void queue_link(struct member_gossip *gossip, struct member *member,
		       unsigned level)
{
	member->gossip_sends = level;
	member->gossip_next = NULL;
	member->gossip_prev = gossip->tail[level];
	if (member->gossip_prev)
		member->gossip_prev->gossip_next = member;
	else
		gossip->head[level] = member;
	gossip->tail[level] = member;
	member->gossip_queued = true;
	gossip->count++;
	gossip->n_full += member->gossip_full;
}

/* Queues the member's current state to be passed on, with no sends yet. */
void member_gossip_add(struct members *m, struct member *member, bool full)
{
	if (member->gossip_queued)
		queue_unlink(&m->gossip, member);
	member->gossip_full = full;
	queue_link(&m->gossip, member, 0);
}

/* Removes the member from the gossip queue. */
void member_gossip_drop(struct members *m, struct member *member)
{
	if (member->gossip_queued)
		queue_unlink(&m->gossip, member);
}

/* Adds queued claims, least sent first, as far as size and budget allow. */
void member_gossip_fill(struct members *m, struct outgoing *o)
{
	unsigned limit = sends_limit(m);
	size_t room = m->settings.max_message_bytes;
	GPtrArray *taken;
	unsigned level, i;

	if (!m->gossip.count || m->tokens <= 0)
		return;
	taken = g_ptr_array_new();
	for (level = 0; level < MEMBER_GOSSIP_LEVELS; level++) {
		struct member *member = m->gossip.head[level];

		while (member &&
		       outgoing_claim(o, member, member->gossip_full, room)) {
			g_ptr_array_add(taken, member);
			member = member->gossip_next;
		}
		if (member)
			break;
	}
	for (i = 0; i < taken->len; i++) {
		struct member *member = g_ptr_array_index(taken, i);
		unsigned next = member->gossip_sends + 1;

		queue_unlink(&m->gossip, member);
		if (next < limit)
			queue_link(&m->gossip, member, next);
	}
	g_ptr_array_free(taken, TRUE);
}

/* Sends queued claims to a few neighbours. */
void member_gossip_tick(struct members *m, uint64_t now_us)
{
	unsigned i;

	if (!m->gossip.count || now_us < m->gossip.next_send_at_us)
		return;
	m->gossip.next_send_at_us = now_us + m->settings.gossip_interval_us;
	for (i = 0; i < m->settings.gossip_fanout; i++) {
		struct member *to = member_ring_random(m);
		struct outgoing o;

		if (!to || !m->gossip.count || m->tokens <= 0)
			return;
		outgoing_init(&o, m, MESSAGE_GOSSIP);
		member_send(m, &to->info, &o);
	}
}
