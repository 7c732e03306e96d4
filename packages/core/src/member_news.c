#include "member_internal.h"

#include <math.h>

/*
 * The gossip queue: members whose changes are passed on, ordered by how often
 * they were sent, so that what few nodes have seen goes first. After about
 * 4 * log10(n) sends nearly all nodes have a change; the comparison of tables
 * repairs the rest.
 */

/* Sends per change, and as many again for each tenfold number of members. */
#define NEWS_FACTOR 4
/* Fewest sends per change, however long the queue is. */
#define NEWS_SENT_LEAST 2
/* The queue should be drained within this time. */
#define NEWS_WAIT_S 5
/* Approximate packed sizes of short and full claims. */
#define NEWS_SHORT_BYTES 30
#define NEWS_FULL_BYTES 110

/*
 * How often each change is sent. When a partition between regions heals, or a
 * whole fleet starts, all members change at once, and sending each as often as
 * usual would use up the byte budget for minutes. Then each is sent only a few
 * times; the comparison of tables carries the bulk at a fraction of the bytes.
 */
static unsigned news_limit(const struct members *m)
{
	const struct member_news *news = &m->news;
	double n = m->n_live > 1 ? (double)m->n_live : 1;
	unsigned limit = NEWS_FACTOR + (unsigned)(NEWS_FACTOR * log10(n));
	unsigned bytes = news->count * NEWS_SHORT_BYTES +
			 news->n_full * (NEWS_FULL_BYTES - NEWS_SHORT_BYTES);
	unsigned fits =
		NEWS_WAIT_S * m->settings.max_bytes_per_s / MAX(bytes, 1);

	limit = MIN(limit, MEMBER_NEWS_LEVELS - 1);
	return CLAMP(fits, MIN(NEWS_SENT_LEAST, limit), limit);
}

static void news_unlink(struct member_news *news, struct member *member)
{
	unsigned level = member->news_sent;

	if (member->news_prev)
		member->news_prev->news_next = member->news_next;
	else
		news->head[level] = member->news_next;
	if (member->news_next)
		member->news_next->news_prev = member->news_prev;
	else
		news->tail[level] = member->news_prev;
	member->news_prev = member->news_next = NULL;
	member->news_queued = false;
	news->count--;
	news->n_full -= member->news_full;
}

static void news_link(struct member_news *news, struct member *member,
		      unsigned level)
{
	member->news_sent = level;
	member->news_next = NULL;
	member->news_prev = news->tail[level];
	if (member->news_prev)
		member->news_prev->news_next = member;
	else
		news->head[level] = member;
	news->tail[level] = member;
	member->news_queued = true;
	news->count++;
	news->n_full += member->news_full;
}

/* Queues the member's current state to be passed on, with no sends yet. */
void member_news_add(struct members *m, struct member *member, bool full)
{
	if (member->news_queued)
		news_unlink(&m->news, member);
	member->news_full = full;
	news_link(&m->news, member, 0);
}

/* Removes the member from the gossip queue. */
void member_news_drop(struct members *m, struct member *member)
{
	if (member->news_queued)
		news_unlink(&m->news, member);
}

/* Adds queued claims, least sent first, as far as size and budget allow. */
void member_news_fill(struct members *m, struct outgoing *o)
{
	unsigned limit = news_limit(m);
	size_t room = m->settings.max_message_bytes;
	GPtrArray *taken;
	unsigned level, i;

	if (!m->news.count || m->tokens <= 0)
		return;
	taken = g_ptr_array_new();
	for (level = 0; level < MEMBER_NEWS_LEVELS; level++) {
		struct member *member = m->news.head[level];

		while (member &&
		       outgoing_claim(o, member, member->news_full, room)) {
			g_ptr_array_add(taken, member);
			member = member->news_next;
		}
		if (member)
			break;
	}
	for (i = 0; i < taken->len; i++) {
		struct member *member = g_ptr_array_index(taken, i);
		unsigned next = member->news_sent + 1;

		news_unlink(&m->news, member);
		if (next < limit)
			news_link(&m->news, member, next);
	}
	g_ptr_array_free(taken, TRUE);
}

/* Sends queued claims to a few neighbours. */
void member_news_tick(struct members *m, uint64_t now_us)
{
	unsigned i;

	if (!m->news.count || now_us < m->news.next_us)
		return;
	m->news.next_us = now_us + m->settings.gossip_interval_us;
	for (i = 0; i < m->settings.gossip_fanout; i++) {
		struct member *to = member_ring_random(m);
		struct outgoing o;

		if (!to || !m->news.count || m->tokens <= 0)
			return;
		outgoing_init(&o, m, MESSAGE_NEWS);
		member_send(m, &to->info, &o);
	}
}
