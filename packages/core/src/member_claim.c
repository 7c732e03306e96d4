#define LOG_MODULE "member"
#include "member_internal.h"

#include <celeryquay/base/log.h>

#include <inttypes.h>
#include <math.h>
#include <string.h>

/*
 * The rules by which claims change a member's state. A claim with a higher
 * incarnation wins; of two with the same incarnation, the one whose state comes
 * later in enum member_state. Only the member itself raises its incarnation, to
 * refute false claims.
 */

/* A suspicion that no other node confirms lasts this many times longer. */
#define SUSPICION_MAX_FACTOR 4
/* Share by which the timeout grows for each tenfold number of members. */
#define SUSPICION_PER_DECADE 0.5
/* Expected number of nodes that verify, besides the member's watchers. */
#define SUSPICION_VERIFIERS 2
/* Names noted per message whose full claims are requested. */
#define MISSING_NAMES_MAX 32
#define DEATH_CHECK_INTERVAL_US USEC_PER_SEC
/* Shortest time between raises above another process of the same name. */
#define OUTBID_INTERVAL_US USEC_PER_SEC

/* LEAVING ranks above SUSPECT, so that a suspicion does not hide leaving. */
static unsigned rank(enum member_state state)
{
	return (unsigned)state;
}

static void note_missing(struct members *m, struct str name)
{
	if (m->missing_names->len < MISSING_NAMES_MAX)
		g_array_append_val(m->missing_names, name);
}

static void notify_changed(struct members *m, const struct member *member)
{
	m->changes++;
	if (m->ops->changed)
		m->ops->changed(m->ctx, &member->info);
}

/* Sets this node's own state and incarnation and announces them. */
void member_self_change(struct members *m, enum member_state state,
			uint64_t incarnation, uint64_t now_us)
{
	struct member *self = m->self;
	bool full = incarnation > self->info.incarnation + 1;

	member_table_before_change(m, self);
	if (self->info.state != state)
		m->changes++;
	self->info.state = state;
	self->info.incarnation = incarnation;
	self->state_since_us = now_us;
	member_table_after_change(m, self);
	member_gossip_add(m, self, full);
	m->gossip.next_send_at_us = now_us;
}

/*
 * Handles a claim about this node itself. After a pause or a partition other
 * members regard this node as suspect or dead and send it no work; announcing a
 * higher incarnation corrects that wherever it arrives. A claim above the own
 * incarnation is about an earlier process whose clock was ahead, or about
 * another node with the same name. Two such nodes would outbid each other
 * without end, so the incarnation is raised at most once a second, and this is
 * logged.
 */
static void claim_about_self(struct members *m, const struct claim *c,
			     uint64_t now_us)
{
	const struct member_info *self = &m->self->info;

	if (m->left || c->incarnation < self->incarnation)
		return;
	if (c->incarnation == self->incarnation) {
		if (rank(c->state) <= rank(self->state))
			return;
		LOG_INFO("held as %s elsewhere, refuting",
			 c->state == MEMBER_SUSPECT ? "suspect" : "dead");
	} else {
		if (m->outbid_at_us &&
		    now_us - m->outbid_at_us < OUTBID_INTERVAL_US)
			return;
		m->outbid_at_us = now_us;
		LOG_WARN("a node of the same name has incarnation %" PRIu64
			 ", this one %" PRIu64,
			 c->incarnation, self->incarnation);
	}
	member_self_change(m, self->state, c->incarnation + 1, now_us);
}

static void suspicion_end(struct members *m, struct member *member)
{
	struct member *last;

	if (!member->suspected)
		return;
	member->suspected = false;
	last = g_ptr_array_index(m->suspects, m->suspects->len - 1);
	last->suspect_index = member->suspect_index;
	g_ptr_array_remove_index_fast(m->suspects, member->suspect_index);
}

static void suspicion_begin(struct members *m, struct member *member,
			    uint64_t now_us)
{
	if (!member->suspected) {
		member->suspected = true;
		member->suspect_index = m->suspects->len;
		g_ptr_array_add(m->suspects, member);
	}
	member->suspected_at_us = now_us;
}

/* Counts a node suspecting the member; false if counted before or full. */
static bool add_suspecter(struct member *member, uint32_t suspecter)
{
	unsigned i;

	for (i = 0; i < member->n_suspecters; i++) {
		if (member->suspecters[i] == suspecter)
			return false;
	}
	if (member->n_suspecters == MEMBER_SUSPECTERS_MAX)
		return false;
	member->suspecters[member->n_suspecters++] = suspecter;
	return true;
}

static bool merge_suspecters(struct member *member, const struct claim *c)
{
	bool added = false;
	unsigned i;

	for (i = 0; i < c->n_suspecters; i++)
		added |= add_suspecter(member, c->suspecters[i]);
	return added;
}

static void set_state(struct members *m, struct member *member,
		      enum member_state state, uint64_t incarnation,
		      uint64_t now_us)
{
	member_table_before_change(m, member);
	if (member->info.state != state)
		member->state_since_us = now_us;
	member->info.state = state;
	member->info.incarnation = incarnation;
	member_table_after_change(m, member);
	if (state != MEMBER_SUSPECT)
		suspicion_end(m, member);
	if (state != MEMBER_SUSPECT && state != MEMBER_DEAD)
		member->n_suspecters = 0;
}

/*
 * On hearing of a suspicion the watchers of the member probe it at once, and so
 * do a few other nodes at random, as all watchers may be in the part of the
 * network that is cut off.
 */
static void maybe_verify(struct members *m, struct member *member)
{
	uint32_t pick = g_rand_int_range(m->rng, 0, (gint32)m->n_live + 1);

	if (pick < SUSPICION_VERIFIERS || member_ring_watches(m, member))
		member_probe_verify(m, member);
}

/*
 * Probes a member that another's table says is dead or suspect. Members that
 * this node does not watch are probed at most once a second in total: after a
 * partition all tables say so of hundreds, and each probe may open a
 * connection.
 */
static void check_reported_death(struct members *m, struct member *member,
				 uint64_t now_us)
{
	if (!member_ring_watches(m, member)) {
		if (now_us - m->death_check_at_us < DEATH_CHECK_INTERVAL_US)
			return;
		m->death_check_at_us = now_us;
	}
	member_probe_verify(m, member);
}

static void claim_add_member(struct members *m, const struct claim *c,
			     enum claim_source source, uint64_t now_us)
{
	struct member *member;

	if (member_is_gone(c->state))
		return;
	if (!c->full) {
		note_missing(m, c->name);
		return;
	}
	member = member_table_add(m, c);
	if (!member)
		return;
	member->state_since_us = now_us;
	if (c->state == MEMBER_SUSPECT) {
		merge_suspecters(member, c);
		suspicion_begin(m, member, now_us);
	}
	if (source != CLAIM_SYNC)
		member_gossip_add(m, member, true);
	notify_changed(m, member);
}

/*
 * The state that a claim leads to in this node's table. A claim from another's
 * table may be hours out of date: after a partition each side's table says that
 * the other side is dead, and accepting it would move all homes away at once.
 * Such a claim only makes this node probe the member, for which MEMBER_ALIVE is
 * returned. A gossiped death is accepted only if this node knew of the
 * suspicion before it, and else starts a suspicion, so that a node which cannot
 * hear the others' refutations cannot declare them dead.
 */
static enum member_state claim_effective_state(const struct member *member,
					       const struct claim *c,
					       enum claim_source source)
{
	bool known = member->suspected &&
		     member->info.incarnation == c->incarnation;

	if (!member_is_present(member))
		return c->state;
	if (source == CLAIM_SYNC && member->process_hash == c->process_hash &&
	    (c->state == MEMBER_SUSPECT || c->state == MEMBER_DEAD))
		return MEMBER_ALIVE;
	if (c->state == MEMBER_DEAD && !known)
		return MEMBER_SUSPECT;
	return c->state;
}

static void claim_apply(struct members *m, struct member *member,
			const struct claim *c, enum member_state state,
			enum claim_source source, uint32_t sender_hash,
			uint64_t now_us)
{
	bool replaced = member->process_hash != c->process_hash;
	bool changed = replaced || member->info.state != state;

	if (c->incarnation > member->info.incarnation)
		member->n_suspecters = 0;
	set_state(m, member, state, c->incarnation, now_us);
	if (replaced) {
		member_table_before_change(m, member);
		member_table_copy_details(member, c);
		member_table_after_change(m, member);
	}
	if (state == MEMBER_SUSPECT) {
		merge_suspecters(member, c);
		if (!c->n_suspecters)
			add_suspecter(member, sender_hash);
		suspicion_begin(m, member, now_us);
		maybe_verify(m, member);
	}
	if (source != CLAIM_SYNC)
		member_gossip_add(m, member, replaced);
	if (changed)
		notify_changed(m, member);
}

/* Handles one claim; sender_hash is the hash of the sender's name. */
void member_on_claim(struct members *m, const struct claim *c,
		     enum claim_source source, uint32_t sender_hash,
		     uint64_t now_us)
{
	struct member *member;
	enum member_state state;

	if (str_eq(c->name, str_from_c(m->self->info.name))) {
		claim_about_self(m, c, now_us);
		return;
	}
	member = member_table_find(m, c->name);
	if (!member) {
		claim_add_member(m, c, source, now_us);
		return;
	}
	if (c->incarnation < member->info.incarnation)
		return;
	if (c->incarnation == member->info.incarnation &&
	    rank(c->state) <= rank(member->info.state)) {
		if (c->state == MEMBER_SUSPECT && member->suspected &&
		    merge_suspecters(member, c))
			member_gossip_add(m, member, false);
		return;
	}
	if (c->process_hash != member->process_hash && !c->full) {
		note_missing(m, c->name);
		return;
	}
	state = claim_effective_state(member, c, source);
	if (state == MEMBER_ALIVE && c->state != MEMBER_ALIVE)
		check_reported_death(m, member, now_us);
	else if (state == MEMBER_SUSPECT &&
		 member->info.state == MEMBER_LEAVING)
		member_suspect(m, member, now_us);
	else
		claim_apply(m, member, c, state, source, sender_hash, now_us);
}

/*
 * Suspects a member after this node's own probe of it failed. The suspicion of
 * a leaving member is not passed on, as it is given no work in any case.
 */
void member_suspect(struct members *m, struct member *member, uint64_t now_us)
{
	enum member_state state = member->info.state;

	if (state == MEMBER_LEAVING) {
		if (!member->suspected)
			suspicion_begin(m, member, now_us);
		return;
	}
	if (state != MEMBER_ALIVE && state != MEMBER_SUSPECT)
		return;
	if (state == MEMBER_ALIVE) {
		member->n_suspecters = 0;
		set_state(m, member, MEMBER_SUSPECT, member->info.incarnation,
			  now_us);
		suspicion_begin(m, member, now_us);
	}
	if (add_suspecter(member, m->self->hash))
		member_gossip_add(m, member, false);
	if (state == MEMBER_ALIVE)
		notify_changed(m, member);
}

/*
 * The time from suspicion to dead. It grows with the number of members, as
 * gossip takes longer to reach them all, and is shorter the more nodes suspect
 * the member by their own probes, as a single one may itself be cut off.
 */
static uint64_t suspicion_timeout(const struct members *m,
				  const struct member *member)
{
	double n = (double)m->n_live;
	double decades = MAX(0.0, log10(n) - 1.0);
	double min_us = (double)m->settings.suspect_timeout_us *
			(1.0 + SUSPICION_PER_DECADE * decades);
	double max_us = SUSPICION_MAX_FACTOR * min_us;
	unsigned expected, confirmed;

	if (member->info.state == MEMBER_LEAVING || m->n_live < 3)
		return member_scale_timeout(m, (uint64_t)min_us);
	expected = MIN(MEMBER_SUSPECTERS_MAX - 1, m->n_live - 2);
	confirmed = member->n_suspecters ?
			    MIN(member->n_suspecters - 1, expected) :
			    0;
	max_us -=
		(max_us - min_us) * log(confirmed + 1.0) / log(expected + 1.0);
	return member_scale_timeout(m, (uint64_t)max_us);
}

/* Declares suspects dead whose time to refute is over, leaving ones left. */
void member_suspicion_tick(struct members *m, uint64_t now_us)
{
	unsigned i = m->suspects->len;

	while (i--) {
		struct member *member = g_ptr_array_index(m->suspects, i);
		bool leaving = member->info.state == MEMBER_LEAVING;

		/* Heard from since: it can refute once it is told. */
		if (member->heard_at_us > member->suspected_at_us)
			member->suspected_at_us = member->heard_at_us;
		if (now_us - member->suspected_at_us <
		    suspicion_timeout(m, member))
			continue;
		set_state(m, member, leaving ? MEMBER_LEFT : MEMBER_DEAD,
			  member->info.incarnation, now_us);
		member_gossip_add(m, member, false);
		notify_changed(m, member);
	}
}

/* Extends all suspicions by a pause in which nothing could be heard. */
void member_suspicion_shift(struct members *m, uint64_t gap_us, uint64_t now_us)
{
	unsigned i;

	for (i = 0; i < m->suspects->len; i++) {
		struct member *member = g_ptr_array_index(m->suspects, i);

		member->suspected_at_us =
			MIN(now_us, member->suspected_at_us + gap_us);
	}
}
