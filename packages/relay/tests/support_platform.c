/*
 * The platform side of the fake: replication, promotions, the duty record, the
 * lists of servers and relays, and fault injection.
 */
#include "support_group.h"
#include "support_history.h"

#include <string.h>

#define REPLICATION_INTERVAL_US (4 * MS) /* between fetches of a replica */
/* How long an old primary reaches the new one before it follows. */
#define FOLLOW_DELAY_US USEC_PER_SEC
#define UNLIST_DELAY_US (3 * USEC_PER_SEC) /* from a crash to its unlisting */
#define CLAIM_TIMEOUT_US (400 * MS)
#define DROP_US (3 * USEC_PER_SEC)
#define QUICK_RESTART_US (20 * MS) /* downtime of a quick restart */
#define ERA_SHIFT 32
/* After a return of the store: until servers have written their entries. */
#define RELIST_MAX_US (2 * USEC_PER_SEC)
/* How long a relay keeps a server that the copy lacks. */
#define FORGOTTEN_HOLD_US (2500 * MS)

/* A relay's call to the store or the platform, or a reply to it. */
struct call {
	unsigned relay;
	unsigned life; /* of the relay's process */
	uint64_t number; /* a claim's expected revision, a promotion's token */
	uint64_t revision; /* of the duty record */
	uint64_t era; /* of the store, as the relay knew it */
	bool other_era; /* a claim was carried out in another one */
	enum relay_claim outcome; /* of a claim */
	unsigned server; /* to promote */
	uint64_t sent_at_us; /* of a promotion */
	uint64_t delay_us; /* until the platform has it */
	unsigned n_cancelled; /* by its relay when the promotion was sent */
	bool accepted; /* promotion: carried out; claim: its reply arrives */
	struct fake_stated stated; /* by a claim */
};

static bool is_reachable(const struct fake_server *s)
{
	return !s->down && !s->dark;
}

/* The reachable primary of the highest term, or NULL. */
struct fake_server *fake_primary(struct fake *f, unsigned group)
{
	struct fake_server *best = NULL;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		struct fake_server *s = &f->servers[i];

		if (s->group == group && is_reachable(s) &&
		    s->role == ROLE_PRIMARY && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

/* The servers that a test may crash or have leave. */
unsigned fake_running_servers(const struct fake *f, unsigned group,
			      unsigned *out)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_servers; i++) {
		const struct fake_server *s = &f->servers[i];

		if (s->group == group && !s->down && !s->leaving &&
		    !s->replaced)
			out[n++] = i;
	}
	return n;
}

/* Tests never leave a group without a server. */
bool fake_may_stop(const struct fake *f, unsigned server)
{
	const struct fake_server *s = &f->servers[server];
	unsigned all[MAX_SERVERS];

	return !s->down && !s->leaving &&
	       fake_running_servers(f, s->group, all) > 1;
}

/* Rolls back what the primary's log lacks, and joins its term. */
static void join_term(struct fake_server *s, const struct fake_server *p)
{
	unsigned n = 0, n_max = MIN(s->log->len, p->log->len);

	while (n < n_max && g_array_index(s->log, unsigned, n) ==
				    g_array_index(p->log, unsigned, n))
		n++;
	g_array_set_size(s->log, n);
	s->applied = MIN(s->applied, n);
	s->term = p->term;
	s->role = ROLE_REPLICA;
	s->was_primary = false;
	s->reachable_since_us = 0;
}

static void receive(struct fake *f, struct fake_server *s,
		    const struct fake_server *p)
{
	unsigned number, n = 0;

	while (s->log->len < p->log->len &&
	       (!s->receives_at_once || n++ < s->receives_at_once)) {
		number = g_array_index(p->log, unsigned, s->log->len);
		if (g_array_index(f->commits, struct fake_commit, number).us +
			    s->lag_us / 2 >
		    f->now_us)
			break;
		g_array_append_val(s->log, number);
	}
}

static void apply(struct fake *f, struct fake_server *s)
{
	unsigned number;

	while (s->applied < s->log->len) {
		number = g_array_index(s->log, unsigned, s->applied);
		if (g_array_index(f->commits, struct fake_commit, number).us +
			    s->lag_us >
		    f->now_us)
			break;
		s->applied++;
	}
}

/* A primary that stepped down still sends what it stored before. */
static void receive_from_old_primary(struct fake *f, struct fake_server *s)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		const struct fake_server *old = &f->servers[i];

		if (old->group == s->group && is_reachable(old) &&
		    old->term == s->term && old->role == ROLE_REPLICA &&
		    old->was_primary)
			receive(f, s, old);
	}
}

static void replicate(struct fake *f, struct fake_server *s)
{
	struct fake_server *p = fake_primary(f, s->group);

	if (!is_reachable(s))
		s->reachable_since_us = 0;
	if (s->down || s == p)
		return;
	if (s->role == ROLE_REPLICA)
		apply(f, s);
	if (s->receives_nothing)
		return;
	if (!p && is_reachable(s) && s->held <= s->term)
		receive_from_old_primary(f, s);
	if (!p || !is_reachable(s) || p->term < s->term || s->held > p->term)
		return;
	if (s->role == ROLE_PRIMARY) {
		if (!s->reachable_since_us)
			s->reachable_since_us = f->now_us;
		if (f->now_us < s->reachable_since_us + FOLLOW_DELAY_US)
			return;
	}
	if (s->role == ROLE_PRIMARY || s->term < p->term)
		join_term(s, p);
	receive(f, s, p);
	apply(f, s);
}

static void replicate_event(struct fake *f, void *data)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		replicate(f, &f->servers[i]);
	fake_at(f, -1, REPLICATION_INTERVAL_US, replicate_event, data, NULL);
}

/* A promotion ends all pauses, before other servers learn its term. */
static void end_pauses(struct fake *f, unsigned group)
{
	unsigned i;

	for (i = 0; i < f->n_servers; i++)
		if (f->servers[i].group == group)
			f->servers[i].held = 0;
}

/*
 * No other server may be named before it is certain that an earlier promotion
 * can't take effect.
 */
static void check_named_alone(struct fake *f, const struct call *call)
{
	const struct fake_server *s = &f->servers[call->server];
	const struct fake_named *named = &f->named[s->group];

	if (named->at_us > call->sent_at_us && named->server != call->server)
		hist_violation(f,
			       "the promotion of %s takes effect %u ms "
			       "after another server was named",
			       s->id,
			       (unsigned)((f->now_us - named->at_us) / MS));
}

/* Commits missing in the new primary's log are lost, even if acknowledged. */
static void promoted_event(struct fake *f, void *data)
{
	const struct call *call = data;
	struct fake_server *s = &f->servers[call->server];
	unsigned i;

	if (s->down || s->role == ROLE_PRIMARY)
		return;
	check_named_alone(f, call);
	s->applied = s->log->len;
	s->role = ROLE_PRIMARY;
	s->was_primary = true;
	s->term = ++f->top_term[s->group];
	end_pauses(f, s->group);
	f->n_promotions++;
	for (i = 1; i < f->commits->len; i++) {
		struct fake_commit *c =
			&g_array_index(f->commits, struct fake_commit, i);

		if (c->group == s->group && !fake_log_has(f, s, i))
			c->lost = true;
	}
}

/* Whether the process that made the call or awaits the message still runs. */
static bool is_current_process(const struct fake *f, const struct call *call)
{
	return call->life == f->relays[call->relay].life;
}

/* Whether the process that made the call ended, or gave the call up. */
static bool is_abandoned(const struct fake *f, const struct call *call)
{
	return !is_current_process(f, call) ||
	       call->n_cancelled !=
		       f->relays[call->relay]
			       .n_cancelled[f->servers[call->server].group];
}

static void promote_reply_event(struct fake *f, void *data)
{
	const struct call *call = data;

	if (is_abandoned(f, call))
		return;
	relay_on_promoted(f->relays[call->relay].relay,
			  f->servers[call->server].service, call->number,
			  call->accepted ? RELAY_PROMOTED_ACCEPTED :
					   RELAY_PROMOTED_REFUSED,
			  f->now_us);
}

/*
 * Promotion calls can overtake each other; the platform refuses one with a
 * lower token than it has seen.
 */
static void promote_event(struct fake *f, void *data)
{
	struct call *call = data;
	struct fake_server *s = &f->servers[call->server];

	if (f->drops_given_up && is_abandoned(f, call))
		return;
	if (f->checks_arrivals && call->number < f->platform_token)
		hist_violation(f, "the platform gets token %u after %u",
			       (unsigned)call->number,
			       (unsigned)f->platform_token);
	call->accepted =
		!s->down && !f->refuses_promotions &&
		(f->takes_any_token || call->number >= f->platform_token);
	f->platform_token = MAX(f->platform_token, call->number);
	if (f->n_promotions_to_drop) {
		f->n_promotions_to_drop--;
		return;
	}
	if (call->accepted)
		fake_at(f, -1, f->promote_duration_us, promoted_event,
			g_memdup2(call, sizeof(*call)), g_free);
	if (!fake_chance(f, f->lose_claims) && !f->lose_promote_replies)
		fake_at(f, (int)call->relay, 5 * MS, promote_reply_event,
			g_memdup2(call, sizeof(*call)), g_free);
}

/* Tokens must not decrease; only the same relay may repeat its token. */
static void note_token(struct fake *f, const struct call *call)
{
	if (call->number < f->last_token ||
	    (call->number == f->last_token &&
	     call->relay != f->last_token_relay))
		hist_violation(f, "token %u of relay %u after %u of relay %u",
			       (unsigned)call->number, call->relay,
			       (unsigned)f->last_token, f->last_token_relay);
	f->last_token = call->number;
	f->last_token_relay = call->relay;
}

/* The relay may have been suspended since it asked for the promotion. */
static void connected_event(struct fake *f, void *data)
{
	struct call *call = data;
	struct fake_relay *r = &f->relays[call->relay];

	if (is_abandoned(f, call))
		return;
	if (!relay_may_send_promotion(r->relay, call->number, f->now_us)) {
		promote_reply_event(f, data);
		return;
	}
	note_token(f, call);
	call->sent_at_us = f->now_us;
	f->named[f->servers[call->server].group] =
		(struct fake_named){ call->server, call->sent_at_us };
	fake_at(f, -1, call->delay_us, promote_event,
		g_memdup2(call, sizeof(*call)), g_free);
}

static void on_promote(void *ctx, const char *service, const char *server,
		       uint64_t token)
{
	struct fake_relay *r = ctx;
	struct call call = { .relay = r->index,
			     .life = r->life,
			     .number = token };

	(void)service;
	while (strcmp(r->fake->servers[call.server].id, server))
		call.server++;
	call.n_cancelled = r->n_cancelled[r->fake->servers[call.server].group];
	call.delay_us = 2 * MS + r->fake->promote_call_delay_us;
	fake_at(r->fake, (int)r->index, MS, connected_event,
		g_memdup2(&call, sizeof(call)), g_free);
}

/* The platform may have the calls, but nobody waits for the answers. */
static void on_cancel(void *ctx, const char *service)
{
	struct fake_relay *r = ctx;

	r->n_cancelled[service[strlen("group")] - '0']++;
}

/* Tells the relay a revision, unless a list is in flight or was dropped. */
static void send_revision(struct fake_relay *r, uint64_t revision)
{
	r->known = MAX(r->known, revision);
	if (!r->n_lists_in_flight && !r->list_dropped)
		relay_on_revision(r->relay, r->known);
}

static void send_list(struct fake *f, struct fake_relay *r);

/* The servers that this relay is told of now; their number. */
static unsigned list_servers(const struct fake *f, const struct fake_relay *r,
			     struct relay_server_info *infos)
{
	unsigned i, n = 0;

	for (i = 0; i < f->n_servers; i++) {
		const struct fake_server *s = &f->servers[i];
		bool is_held = !s->listed && s->forgotten && r->had[i] &&
			       f->now_us <
				       r->returned_at_us + FORGOTTEN_HOLD_US;

		if (!s->listed && !is_held)
			continue;
		infos[n++] = (struct relay_server_info){
			.id = (char *)s->id,
			.service = (char *)s->service,
			.host = "10.0.0.1",
			.port = s->port,
			.zone = "a",
			.leaving = s->leaving,
			.role = s->role,
			.slots = FAKE_SLOTS,
			.started_at_ms = s->started_at_ms,
			.forgotten = is_held,
		};
	}
	return n;
}

static void take_list(struct fake *f, struct fake_relay *r,
		      const struct relay_server_info *infos, unsigned n)
{
	unsigned i, k;

	for (i = 0; i < f->n_servers; i++) {
		r->had[i] = false;
		for (k = 0; k < n; k++)
			r->had[i] |= !strcmp(infos[k].id, f->servers[i].id);
	}
	relay_on_servers(r->relay, infos, n, f->now_us);
}

static void hold_end_event(struct fake *f, void *data)
{
	send_list(f, data);
}

/* Reports the duty record to the relay. */
static void tell_duty(struct fake *f, struct fake_relay *r)
{
	struct relay_promotion list[FAKE_STATED_MAX];
	struct relay_duty duty = {
		.revision = f->duty_revision,
		.holder = *f->duty_holder ? f->duty_holder : NULL,
		.promotions = list,
		.n_promotions = f->stated.n,
		.states_promotions = true,
	};
	unsigned i;

	for (i = 0; i < f->stated.n; i++)
		list[i] = (struct relay_promotion){
			.service = f->stated.list[i].service,
			.server = f->stated.list[i].server,
			.claim = f->stated.list[i].claim,
			.term = f->stated.list[i].term,
		};
	relay_on_duty(r->relay, &duty, f->now_us);
}

static void tell_roster(struct fake *f, struct fake_relay *r, unsigned group)
{
	const struct fake_roster *record = &f->rosters[group];
	struct relay_holder servers[MAX_SERVERS];
	struct relay_roster roster = { .revision = record->revision,
				       .era = record->era,
				       .settled = record->settled,
				       .servers = servers,
				       .n_servers = record->n };
	char *service;
	unsigned i;

	if (!record->revision)
		return;
	for (i = 0; i < record->n; i++)
		servers[i] = (struct relay_holder){
			f->servers[record->servers[i]].id, "10.0.0.1",
			f->servers[record->servers[i]].port
		};
	service = g_strdup_printf("group%u", group);
	relay_on_roster(r->relay, service, &roster, f->now_us);
	g_free(service);
}

static void tell_rosters(struct fake *f, struct fake_relay *r)
{
	unsigned group;

	for (group = 0; group < f->n_groups; group++)
		tell_roster(f, r, group);
}

/* The relay learns of the store's return and reads everything again. */
static void learn_return(struct fake *f, struct fake_relay *r)
{
	struct relay_server_info infos[MAX_SERVERS];
	unsigned n;

	r->era = f->era;
	r->n_lists_in_flight = 0;
	r->returned_at_us = f->now_us;
	relay_on_store_era(r->relay, f->era, true, f->now_us);
	tell_duty(f, r);
	tell_rosters(f, r);
	r->list_dropped = r->drop_lists;
	if (!r->drop_lists) {
		n = list_servers(f, r, infos);
		r->list_revision = f->revision;
		take_list(f, r, infos, n);
	}
	send_revision(r, f->revision);
	fake_at(f, (int)r->index, FORGOTTEN_HOLD_US, hold_end_event, r, NULL);
}

/* Whether what arrives is of an era that the relay has read. */
static bool check_era(struct fake *f, struct fake_relay *r, uint64_t era)
{
	if (era > r->era && !r->deaf && f->now_us >= r->return_due_us)
		learn_return(f, r);
	return era <= r->era;
}

static void return_event(struct fake *f, void *data)
{
	check_era(f, data, f->era);
}

static void relist_event(struct fake *f, void *data)
{
	struct fake_server *s = data;

	if (s->down || s->replaced || s->listed || s->without_store)
		return;
	s->listed = true;
	s->forgotten = false;
	fake_publish_lists(f);
}

static void lapse_event(struct fake *f, void *data)
{
	struct fake_server *s = data;

	if (!s->down && !s->replaced)
		return;
	s->listed = false;
	fake_publish_lists(f);
}

/* Makes a copy of the store. */
void fake_copy_store(struct fake *f)
{
	unsigned i;

	f->copy.revision = f->revision;
	f->copy.duty_revision = f->duty_revision;
	g_strlcpy(f->copy.duty_holder, f->duty_holder,
		  sizeof(f->copy.duty_holder));
	f->copy.stated = f->stated;
	memcpy(f->copy.rosters, f->rosters, sizeof(f->rosters));
	for (i = 0; i < MAX_SERVERS; i++)
		f->copy.listed[i] = f->servers[i].listed;
}

static uint64_t in_era(const struct fake *f, uint64_t revision)
{
	return f->era << ERA_SHIFT | (uint32_t)revision;
}

static void restore_server(struct fake *f, struct fake_server *s)
{
	bool was_listed = s->listed;

	s->listed = f->copy.listed[s->index];
	s->forgotten = was_listed && !s->listed;
	if (s->forgotten)
		fake_at(f, -1, fake_random(f, 0, RELIST_MAX_US), relist_event,
			s, NULL);
	else if (s->listed && !was_listed)
		fake_at(f, -1, UNLIST_DELAY_US, lapse_event, s, NULL);
}

/*
 * The store comes back from its copy. Servers write their entries again within
 * two seconds, and relays learn of it.
 */
void fake_restore_store(struct fake *f)
{
	unsigned i;

	f->era++;
	f->revision = in_era(f, f->copy.revision);
	f->duty_revision =
		f->copy.duty_revision ? in_era(f, f->copy.duty_revision) : 0;
	g_strlcpy(f->duty_holder, f->copy.duty_holder, sizeof(f->duty_holder));
	f->stated = f->copy.stated;
	memcpy(f->rosters, f->copy.rosters, sizeof(f->rosters));
	for (i = 0; i < f->n_groups; i++)
		if (f->rosters[i].revision)
			f->rosters[i].revision =
				in_era(f, f->rosters[i].revision);
	for (i = 0; i < f->n_servers; i++)
		restore_server(f, &f->servers[i]);
	for (i = 0; i < f->n_relays; i++) {
		struct fake_relay *r = &f->relays[i];

		r->return_due_us = f->now_us + fake_random(f, 2, 40) * MS +
				   r->return_delay_us;
		fake_at(f, (int)i, r->return_due_us - f->now_us, return_event,
			r, NULL);
	}
}

static void duty_event(struct fake *f, void *data)
{
	const struct call *call = data;

	if (f->relays[call->relay].deaf || !is_current_process(f, call) ||
	    !check_era(f, &f->relays[call->relay], f->era))
		return;
	tell_duty(f, &f->relays[call->relay]);
	send_revision(&f->relays[call->relay], call->revision);
}

/* The rosters are read with the rest of the store's contents. */
static void roster_event(struct fake *f, void *data)
{
	const struct call *call = data;

	if (f->relays[call->relay].deaf || !is_current_process(f, call) ||
	    !check_era(f, &f->relays[call->relay], f->era))
		return;
	tell_rosters(f, &f->relays[call->relay]);
}

static void send_rosters(struct fake *f)
{
	struct call call = { 0 };

	for (; call.relay < f->n_relays; call.relay++) {
		call.life = f->relays[call.relay].life;
		fake_at(f, (int)call.relay, fake_random(f, 2 * MS, 10 * MS),
			roster_event, g_memdup2(&call, sizeof(call)), g_free);
	}
}

struct roster_write {
	unsigned group;
	uint64_t expected;
	struct fake_roster roster;
};

static void roster_written_event(struct fake *f, void *data)
{
	const struct roster_write *w = data;
	struct fake_roster *roster = &f->rosters[w->group];

	if (w->expected != roster->revision || w->roster.era != f->era)
		return;
	*roster = w->roster;
	f->revision += fake_random(f, 1, 4);
	roster->revision = f->revision;
	f->n_rosters_written++;
	send_rosters(f);
}

static void on_write_roster(void *ctx, const char *service,
			    const struct relay_roster *roster)
{
	struct fake_relay *r = ctx;
	struct fake *f = r->fake;
	struct roster_write w = { .expected = roster->revision,
				  .roster.era = roster->era,
				  .roster.settled = roster->settled };
	unsigned i, k;

	if (r->deaf)
		return;
	w.group = (unsigned)(service[strlen("group")] - '0');
	for (i = 0; i < roster->n_servers; i++)
		for (k = 0; k < f->n_servers; k++)
			if (!strcmp(f->servers[k].id, roster->servers[i].id))
				w.roster.servers[w.roster.n++] = k;
	fake_at(f, -1, 2 * MS, roster_written_event, g_memdup2(&w, sizeof(w)),
		g_free);
}

static void send_duty(struct fake *f)
{
	struct call call = { .revision = f->duty_revision };

	for (; call.relay < f->n_relays; call.relay++) {
		call.life = f->relays[call.relay].life;
		fake_at(f, (int)call.relay, fake_random(f, 2 * MS, 10 * MS),
			duty_event, g_memdup2(&call, sizeof(call)), g_free);
	}
}

static void claimed_event(struct fake *f, void *data)
{
	const struct call *call = data;

	if (!is_current_process(f, call))
		return;
	if (call->other_era) {
		f->relays[call->relay].return_due_us = f->now_us;
		check_era(f, &f->relays[call->relay], f->era);
	}
	relay_on_claimed(f->relays[call->relay].relay, call->outcome,
			 call->revision, f->now_us);
}

static void store_event(struct fake *f, void *data)
{
	struct call *call = data;

	/* The store compares bare revisions, which it gives out again. */
	call->outcome = RELAY_CLAIM_LOST;
	if ((uint32_t)call->number == (uint32_t)f->duty_revision) {
		call->outcome = RELAY_CLAIM_DONE;
		f->revision += fake_random(f, 1, 4);
		f->duty_revision = f->revision;
		g_strlcpy(f->duty_holder, f->relays[call->relay].name,
			  sizeof(f->duty_holder));
		f->stated = call->stated;
		send_duty(f);
	}
	call->revision = f->duty_revision;
	call->other_era = call->era != f->era;
	if (call->other_era)
		call->outcome = RELAY_CLAIM_UNKNOWN;
	if (call->accepted)
		fake_at(f, (int)call->relay, 2 * MS, claimed_event,
			g_memdup2(call, sizeof(*call)), g_free);
}

static void copy_stated(struct fake_stated *to,
			const struct relay_promotion *from, unsigned n)
{
	unsigned i;

	g_assert(n <= FAKE_STATED_MAX);
	to->n = n;
	for (i = 0; i < n; i++) {
		g_strlcpy(to->list[i].service, from[i].service,
			  sizeof(to->list[i].service));
		g_strlcpy(to->list[i].server, from[i].server,
			  sizeof(to->list[i].server));
		to->list[i].claim = from[i].claim;
		to->list[i].term = from[i].term;
	}
}

/* A claim whose reply is lost takes effect up to 3 s later, or never. */
static void on_claim(void *ctx, uint64_t expected,
		     const struct relay_promotion *promotions,
		     unsigned n_promotions)
{
	struct fake_relay *r = ctx;
	struct fake *f = r->fake;
	struct call call = { .relay = r->index,
			     .life = r->life,
			     .number = expected,
			     .era = r->era };
	uint64_t delay_us = 2 * MS;

	copy_stated(&call.stated, promotions, n_promotions);
	call.outcome = RELAY_CLAIM_UNKNOWN;
	if (r->deaf) {
		fake_at(f, (int)r->index, CLAIM_TIMEOUT_US, claimed_event,
			g_memdup2(&call, sizeof(call)), g_free);
		return;
	}
	call.accepted = !fake_chance(f, f->lose_claims);
	if (!call.accepted) {
		fake_at(f, (int)r->index, CLAIM_TIMEOUT_US, claimed_event,
			g_memdup2(&call, sizeof(call)), g_free);
		delay_us = fake_random(f, 2 * MS, 3000 * MS);
	}
	if (call.accepted || fake_chance(f, 0.5))
		fake_at(f, -1, delay_us, store_event,
			g_memdup2(&call, sizeof(call)), g_free);
}

/* A list of servers in flight to a relay. */
struct list_message {
	struct fake_relay *relay;
	unsigned life;
	uint64_t era; /* that the relay knew when it was sent */
	uint64_t revision;
	struct relay_server_info infos[MAX_SERVERS];
	unsigned n;
};

static void send_peers(struct fake *f, struct fake_relay *r)
{
	struct relay_server_info infos[MAX_RELAYS] = { 0 };
	unsigned i, n = 0;

	for (i = 0; i < f->n_relays; i++)
		if (!f->relays[i].unlisted)
			infos[n++] = (struct relay_server_info){
				.id = f->relays[i].name,
				.host = "10.0.0.2",
				.zone = "a",
				.capacity = f->relays[i].capacity,
			};
	if (f->homes)
		relay_on_peers(r->relay, infos, n, f->now_us);
}

static void list_event(struct fake *f, void *data)
{
	const struct list_message *message = data;
	struct fake_relay *r = message->relay;

	if (message->life != r->life)
		return;
	if (message->era == r->era)
		r->n_lists_in_flight--;
	if (!check_era(f, r, message->revision >> ERA_SHIFT))
		return;
	if (message->revision < r->list_revision) {
		send_revision(r, message->revision);
		return;
	}
	r->list_dropped = r->drop_lists;
	if (!r->drop_lists) {
		r->list_revision = message->revision;
		take_list(f, r, message->infos, message->n);
	}
	send_peers(f, r);
	send_revision(r, message->revision);
}

static void send_list(struct fake *f, struct fake_relay *r)
{
	struct list_message *message = g_new0(struct list_message, 1);

	message->relay = r;
	message->life = r->life;
	message->revision = f->revision;
	message->n = list_servers(f, r, message->infos);
	message->era = r->era;
	r->n_lists_in_flight++;
	fake_at(f, (int)r->index, 5 * MS + r->list_delay_us, list_event,
		message, g_free);
}

/* Sends the lists of servers and of relays to all relays. */
void fake_publish_lists(struct fake *f)
{
	unsigned i;

	f->revision++;
	for (i = 0; i < f->n_relays; i++)
		send_list(f, &f->relays[i]);
}

static void unlist_event(struct fake *f, void *data)
{
	struct fake_server *s = data;

	if (!s->down || f->now_us < s->down_at_us + UNLIST_DELAY_US)
		return;
	s->listed = false;
	fake_publish_lists(f);
}

static void lost_event(struct fake *f, void *data)
{
	const uint64_t *key = data;

	relay_conn_lost(f->relays[*key >> 48].relay,
			*key & (((uint64_t)1 << 48) - 1), false, f->now_us);
}

/* Ends the server's process; its log stays. */
void fake_crash(struct fake *f, unsigned server)
{
	struct fake_server *s = &f->servers[server];
	GHashTableIter iter;
	gpointer value;

	s->down = true;
	s->down_at_us = f->now_us;
	s->held = 0;
	g_hash_table_iter_init(&iter, f->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_conn *c = value;

		if (c->server != s || !c->open)
			continue;
		if (!c->broken && !s->dark && !f->cut[c->relay][server])
			fake_at(f, (int)c->relay, 2 * MS, lost_event,
				g_memdup2(&c->key, sizeof(c->key)), g_free);
		g_hash_table_iter_remove(&iter);
	}
	fake_at(f, -1, UNLIST_DELAY_US, unlist_event, s, NULL);
}

/* Restarts a crashed server with its log, as a replica if its term is old. */
void fake_restart(struct fake *f, unsigned server)
{
	struct fake_server *s = &f->servers[server];

	if (!s->down || s->replaced)
		return;
	s->down = false;
	s->listed = true;
	s->forgotten = false;
	if (s->term < f->top_term[s->group])
		s->role = ROLE_REPLICA;
	fake_publish_lists(f);
}

static void quick_restart_event(struct fake *f, void *data)
{
	struct fake_server *s = data;

	s->started_at_ms++;
	if (s->was_primary)
		s->role = ROLE_PRIMARY;
	fake_restart(f, s->index);
}

/*
 * The restarted process has forgotten a pause and a step-down. It is primary
 * again if it was the primary of its term, unless another server was promoted
 * meanwhile.
 */
void fake_restart_at_once(struct fake *f, unsigned server, bool keeps_log)
{
	struct fake_server *s = &f->servers[server];

	fake_crash(f, server);
	if (!keeps_log) {
		g_array_set_size(s->log, 0);
		s->applied = 0;
	}
	fake_at(f, -1, QUICK_RESTART_US, quick_restart_event, s, NULL);
}

/* Blocks all messages between the two; a message breaks its connection. */
void fake_cut(struct fake *f, unsigned relay, unsigned server, bool cut)
{
	f->cut[relay][server] = cut;
}

/* Suspends the relay's VM; events for it are held. */
void fake_suspend_relay(struct fake *f, unsigned relay, uint64_t us)
{
	f->relays[relay].frozen_until_us = f->now_us + us;
}

/* Ends the faults of network, servers and calls; crashed servers restart. */
void fake_heal(struct fake *f)
{
	unsigned i;

	memset(f->cut, 0, sizeof(f->cut));
	memset(f->side, 0, sizeof(f->side));
	f->lose_answers = f->lose_claims = f->busy = 0;
	f->lose_promote_replies = f->refuses_promotions = false;
	f->promote_call_delay_us = 0;
	for (i = 0; i < f->n_servers; i++) {
		f->servers[i].dark = false;
		f->servers[i].receives_nothing = false;
		f->servers[i].receives_at_once = 0;
		f->servers[i].lag_us = 5 * MS;
		fake_restart(f, i);
	}
}

static void tick_event(struct fake *f, void *data)
{
	struct fake_relay *r = data;

	if (!r->deaf)
		relay_on_store(r->relay, true, f->now_us);
	relay_tick(r->relay, f->now_us);
	fake_at(f, (int)r->index,
		relay_next_tick_us(r->relay) -
			MIN(relay_next_tick_us(r->relay), f->now_us) + 1,
		tick_event, r, NULL);
}

/* The current configuration. */
struct relay_catalog *fake_catalog(const struct fake *f)
{
	static const char *const kinds[] = { "primary", "bounded", "own" };
	struct relay_catalog *c =
		relay_catalog_create(1 + f->config_version, 5 * USEC_PER_SEC);
	unsigned i, kind;

	for (i = 0; i < f->n_groups; i++) {
		char *name = g_strdup_printf("group%u", i);
		struct relay_service_conf conf = {
			.name = name,
			.max_connections = f->max_connections,
			.sync_replicas = f->sync_replicas,
		};

		relay_catalog_add_service(c, &conf);
		for (kind = 0; kind < G_N_ELEMENTS(kinds); kind++) {
			char *db = g_strdup_printf("%s%u", kinds[kind], i);
			struct relay_profile p = {
				.database = db,
				.service = name,
				.kind = kind,
				.timeout_us = f->statement_timeout_us,
				.target_latency_us = FAKE_LATENCY_TARGET_US,
				.max_age_us = FAKE_MAX_AGE_US,
				.priority = f->priorities[kind]
			};

			relay_catalog_add_profile(c, &p);
			g_free(db);
		}
		g_free(name);
	}
	if (f->accounts)
		accounts_add(f, c);
	return c;
}

static void start_relay(struct fake_relay *r, struct relay_catalog *catalog)
{
	static const struct relay_ops ops = { .answer = fake_answer,
					      .hang_up = fake_hang_up,
					      .open = fake_open,
					      .send = fake_send,
					      .close = fake_close,
					      .claim = on_claim,
					      .promote = on_promote,
					      .cancel_promotions = on_cancel,
					      .write_roster = on_write_roster };
	struct fake *f = r->fake;
	struct relay_settings settings;

	r->counters = counter_set_create();
	relay_settings_default(&settings);
	settings.name = r->name;
	settings.zone = "a";
	if (f->accounts)
		accounts_settings(&settings);
	settings.limits = f->limits;
	settings.home_pooling = r->old ? SPLACE_OFF : f->home_pooling;
	settings.capacity = r->capacity;
	if (f->stop_grace_us)
		settings.stop_grace_us = f->stop_grace_us;
	r->relay = relay_create(&settings, &ops, r, r->counters, f->rng,
				f->now_us);
	relay_on_catalog(r->relay, catalog, f->now_us);
	relay_on_store_era(r->relay, f->era, false, f->now_us);
}

static void create_relay(struct fake *f, unsigned index,
			 struct relay_catalog *catalog)
{
	struct fake_relay *r = &f->relays[index];

	r->fake = f;
	r->index = index;
	g_snprintf(r->name, sizeof(r->name), "relay%u", index);
	start_relay(r, catalog);
	tell_duty(f, r);
	fake_at(f, (int)index, MS, tick_event, r, NULL);
}

/* Sends the store's whole state, as at the start of a watch. */
static void send_all(struct fake *f, struct fake_relay *r)
{
	struct call call = { .relay = r->index,
			     .life = r->life,
			     .revision = f->duty_revision };

	send_list(f, r);
	fake_at(f, (int)r->index, 3 * MS, duty_event,
		g_memdup2(&call, sizeof(call)), g_free);
	fake_at(f, (int)r->index, 3 * MS, roster_event,
		g_memdup2(&call, sizeof(call)), g_free);
}

/* Restores the relay's connection to the store, or cuts it off. */
void fake_set_store_reachable(struct fake *f, unsigned relay, bool answers)
{
	bool is_back = answers && f->relays[relay].deaf;

	f->relays[relay].deaf = !answers;
	relay_on_store(f->relays[relay].relay, answers, f->now_us);
	if (is_back)
		send_all(f, &f->relays[relay]);
}

/* Ends the callers' sessions, and connections after messages in flight. */
static void end_relay(struct fake *f, struct fake_relay *r)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, f->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct fake_conn *c = value;

		if (c->relay == r->index)
			fake_close(r, c->id);
		else if (c->peer == r)
			fake_at(f, (int)c->relay, 2 * MS, lost_event,
				g_memdup2(&c->key, sizeof(c->key)), g_free);
	}
	hist_relay_ended(f, r->index);
}

/*
 * The new process starts without the old one's state, except for the numbering
 * of connections, which the fake identifies connections by.
 */
void fake_restart_relay(struct fake *f, unsigned relay)
{
	struct fake_relay *r = &f->relays[relay];
	struct relay *old = r->relay;
	struct counter_set *counters = r->counters;
	struct relay_catalog *catalog = fake_catalog(f);

	end_relay(f, r);
	r->life++;
	r->n_lists_in_flight = 0;
	r->list_dropped = false;
	r->known = r->list_revision = 0;
	r->era = f->era;
	r->frozen_until_us = 0;
	start_relay(r, catalog);
	relay_catalog_unref(catalog);
	*relay_guards_of(r->relay) = *relay_guards_of(old);
	r->relay->next_conn = old->next_conn;
	relay_destroy(old);
	counter_set_destroy(counters);
	if (!r->deaf)
		send_all(f, r);
}

static struct fake_server *add_server(struct fake *f, unsigned group,
				      enum server_role role)
{
	struct fake_server *s = &f->servers[f->n_servers];

	g_assert(f->n_servers < MAX_SERVERS);
	s->index = f->n_servers++;
	s->group = group;
	s->port = (uint16_t)(s->index + 1);
	g_snprintf(s->id, sizeof(s->id), "s%u", s->index);
	g_snprintf(s->service, sizeof(s->service), "group%u", group);
	s->listed = true;
	s->role = role;
	s->was_primary = role == ROLE_PRIMARY;
	s->started_at_ms = 1;
	s->term = 1;
	s->lag_us = 5 * MS;
	s->log = g_array_new(FALSE, FALSE, sizeof(unsigned));
	return s;
}

static void copy_log(struct fake_server *to, const struct fake_server *from)
{
	g_array_append_vals(to->log, from->log->data, from->log->len);
	to->applied = to->log->len;
	to->term = from->term;
}

/* The reachable server with the newest log. */
static const struct fake_server *newest_log(const struct fake *f,
					    unsigned group)
{
	const struct fake_server *best = NULL;
	unsigned i;

	for (i = 0; i < f->n_servers; i++) {
		const struct fake_server *s = &f->servers[i];

		if (s->group != group || !is_reachable(s))
			continue;
		if (!best || s->term > best->term ||
		    (s->term == best->term && s->log->len > best->log->len))
			best = s;
	}
	return best;
}

/* The new replica has the newest log of the group, and no pause. */
unsigned fake_add_replica(struct fake *f, unsigned group)
{
	const struct fake_server *from = newest_log(f, group);
	struct fake_server *s = add_server(f, group, ROLE_REPLICA);

	if (from)
		copy_log(s, from);
	fake_publish_lists(f);
	return s->index;
}

/* A primary of its term is primary again unless another was promoted. */
unsigned fake_rejoin_with_new_id(struct fake *f, unsigned server)
{
	struct fake_server *old = &f->servers[server];
	struct fake_server *s = add_server(f, old->group, ROLE_REPLICA);

	old->replaced = true;
	s->port = old->port;
	copy_log(s, old);
	s->was_primary = old->was_primary;
	if (s->was_primary && s->term == f->top_term[s->group])
		s->role = ROLE_PRIMARY;
	fake_publish_lists(f);
	return s->index;
}

static void stop_event(struct fake *f, void *data)
{
	struct fake_server *s = data;

	fake_crash(f, s->index);
	s->replaced = true;
	s->listed = false;
	fake_publish_lists(f);
}

/* A planned shutdown: the server works until then, and doesn't return. */
void fake_leave(struct fake *f, unsigned server, uint64_t drain_us)
{
	f->servers[server].leaving = true;
	fake_publish_lists(f);
	fake_at(f, -1, drain_us, stop_event, &f->servers[server], NULL);
}

/* Creates idle groups and relays, and schedules their periodic events. */
struct fake *fake_create_with(uint32_t seed, const struct fake_options *o)
{
	struct fake *f = g_new0(struct fake, 1);
	struct relay_catalog *catalog;
	unsigned i;

	f->now_us = 10 * USEC_PER_SEC;
	f->rng = g_rand_new_with_seed(seed);
	f->n_relays = o->n_relays;
	f->n_groups = o->n_groups;
	f->homes = o->homes;
	f->accounts = o->n_accounts;
	f->n_accounts = o->n_accounts;
	f->limits = o->limits;
	f->sync_replicas = o->sync_replicas;
	f->stop_grace_us = o->stop_grace_us;
	f->home_pooling = o->home_pooling;
	memcpy(f->priorities, o->priorities, sizeof(f->priorities));
	f->max_connections = o->n_relays > 4 ? 10 : 20;
	if (o->max_connections)
		f->max_connections = o->max_connections;
	f->statement_timeout_us = o->statement_timeout_us ?
					  o->statement_timeout_us :
					  FAKE_STATEMENT_TIMEOUT_US;
	f->promote_duration_us = 1000 * MS;
	f->events = fake_events_create();
	f->conns = fake_conns_create();
	f->commits = g_array_new(FALSE, TRUE, sizeof(struct fake_commit));
	g_array_set_size(f->commits, 1);
	f->hist = hist_create();
	for (i = 0; i < f->n_groups * GROUP_SIZE; i++)
		add_server(f, i / GROUP_SIZE,
			   i % GROUP_SIZE ? ROLE_REPLICA : ROLE_PRIMARY);
	for (i = 0; i < f->n_groups; i++)
		f->top_term[i] = 1;
	catalog = fake_catalog(f);
	for (i = 0; i < f->n_relays; i++) {
		f->relays[i].capacity = o->capacities[i];
		f->relays[i].old = o->old[i];
		create_relay(f, i, catalog);
	}
	relay_catalog_unref(catalog);
	fake_publish_lists(f);
	fake_at(f, -1, 0, replicate_event, NULL, NULL);
	if (f->accounts)
		accounts_start(f);
	return f;
}

struct fake *fake_create(uint32_t seed, unsigned n_relays, unsigned n_groups)
{
	struct fake_options o = { .n_relays = n_relays, .n_groups = n_groups };

	return fake_create_with(seed, &o);
}

struct fake *fake_create_pooled(uint32_t seed, bool accounts)
{
	struct fake_options o = {
		.n_relays = FAKE_POOLED_RELAYS,
		.n_groups = 1,
		.homes = true,
		.n_accounts = accounts ? FAKE_ACCOUNTS : 0,
		.limits = accounts,
		.home_pooling = SPLACE_ON,
		.max_connections = FAKE_POOLED_CONNECTIONS,
	};

	return fake_create_with(seed, &o);
}

struct fake *fake_create_accounts(uint32_t seed, unsigned n_relays,
				  unsigned n_groups)
{
	struct fake_options o = {
		.n_relays = n_relays,
		.n_groups = n_groups,
		.homes = true,
		.n_accounts = FAKE_ACCOUNTS,
		.limits = true,
	};

	return fake_create_with(seed, &o);
}

/* Frees the fake and its relays. */
void fake_destroy(struct fake *f)
{
	unsigned i;

	for (i = 0; i < f->n_relays; i++) {
		relay_destroy(f->relays[i].relay);
		counter_set_destroy(f->relays[i].counters);
	}
	g_tree_destroy(f->events);
	g_hash_table_destroy(f->conns);
	for (i = 0; i < f->n_servers; i++)
		g_array_free(f->servers[i].log, TRUE);
	g_array_free(f->commits, TRUE);
	hist_destroy(f->hist);
	g_rand_free(f->rng);
	g_free(f);
}
