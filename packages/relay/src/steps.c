/*
 * Brings a connection to where its session needs it, one statement at a time:
 * values, the prepared statement, the transaction, then the caller's own.
 */
#define LOG_MODULE "steps"
#include "relay_internal.h"

#include <celeryquay/base/log.h>

#define SETUP_TIMEOUT_US USEC_PER_SEC
/* Between two proxies and back, with what each does: 2 to 3 ms measured. */
#define HOP_US (4 * USEC_PER_MSEC)
#define NAMES_MAX 200 /* prepared at one connection before it is reset */

static void note_step(struct rconn *c, const char *key, const char *value)
{
	g_free(c->step_key);
	g_free(c->step_value);
	c->step_key = g_strdup(key);
	c->step_value = g_strdup(value);
}

/* Something of another session is there, which only a reset takes away. */
static bool needs_reset(const struct rconn *c, const struct rsession *s)
{
	GHashTableIter iter;
	gpointer key;

	if (c->in_block || !s->relay->guards.clean_values)
		return false;
	if (c->n_names > NAMES_MAX)
		return true;
	g_hash_table_iter_init(&iter, c->values);
	while (g_hash_table_iter_next(&iter, &key, NULL))
		if (!g_hash_table_contains(s->values, key))
			return true;
	return false;
}

static bool send_reset(struct rconn *c, uint64_t now_us)
{
	struct relay_statement st = { .verb = RELAY_RESET };

	if (!needs_reset(c, c->session))
		return false;
	rcn_send(c, STEP_RESET, &st, SETUP_TIMEOUT_US, now_us);
	return true;
}

static bool send_value(struct rconn *c, uint64_t now_us)
{
	struct relay_statement st = { .verb = RELAY_SET };
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, c->session->values);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const char *has = g_hash_table_lookup(c->values, key);

		if (has && !strcmp(has, value))
			continue;
		note_step(c, key, value);
		st.name = str_from_c(key);
		st.text = str_from_c(value);
		rcn_send(c, STEP_SET, &st, SETUP_TIMEOUT_US, now_us);
		return true;
	}
	return false;
}

static char *prepared_key(const struct rprepared *p)
{
	return g_strdup_printf("%c%s", p->writes ? 'w' : 'r', p->shape);
}

static const struct rprepared *prepared_of(const struct rsession *s)
{
	return g_hash_table_lookup(s->prepared, s->run.name->str);
}

/*
 * Names of callers collide, so a connection gives its own, one for each kind
 * and shape, which all sessions that come to it share.
 */
static bool send_prepare(struct rconn *c, uint64_t now_us)
{
	const struct rprepared *p = prepared_of(c->session);
	struct relay_statement st = { 0 };
	char name[24];
	char *key;
	bool has;

	if (c->session->run.verb != RELAY_EXECUTE || !p)
		return false;
	key = prepared_key(p);
	has = g_hash_table_contains(c->prepared, key);
	if (!has) {
		g_snprintf(name, sizeof(name), "p%u", ++c->n_names);
		note_step(c, key, name);
		st.verb = p->writes ? RELAY_PREPARE_WRITE : RELAY_PREPARE_READ;
		st.name = str_from_c(name);
		st.text = str_from_c(p->shape);
		rcn_send(c, STEP_PREPARE, &st, SETUP_TIMEOUT_US, now_us);
	}
	g_free(key);
	return !has;
}

static uint64_t time_left_us(const struct rrun *run, uint64_t now_us)
{
	return run->deadline_us > now_us ? run->deadline_us - now_us : 1;
}

/*
 * How long another proxy may wait for a server: what is left here, less the
 * way there and back.
 */
static uint64_t wait_at_us(const struct rconn *c, const struct rrun *run,
			   uint64_t now_us)
{
	if (!c->server->service->peers)
		return 0;
	return run->give_up_us > now_us + HOP_US ?
		       run->give_up_us - now_us - HOP_US :
		       1;
}

/* Only other proxies are told; a connection to a server has its own. */
static struct str account_at(const struct rconn *c)
{
	return c->server->service->peers ? str_from_c(c->session->account) :
					   STR("");
}

static bool send_begin(struct rconn *c, uint64_t now_us)
{
	struct rsession *s = c->session;
	struct relay_statement st = { .verb = RELAY_BEGIN };

	if (!s->run.begins || c->in_block)
		return false;
	if (s->read_only)
		st.verb = RELAY_BEGIN_READ;
	st.after = s->run.after;
	st.wait_us = wait_at_us(c, &s->run, now_us);
	st.account = account_at(c);
	/* Another try of it is the relay's own. */
	st.id = str_from_gstring(s->run.begin_id);
	c->in_block = true;
	rcn_send(c, STEP_BEGIN, &st, time_left_us(&s->run, now_us), now_us);
	g_string_truncate(s->run.begin_id, 0);
	return true;
}

static void send_own(struct rconn *c, uint64_t now_us)
{
	struct rsession *s = c->session;
	struct rrun *run = &s->run;
	struct relay_statement st = {
		.verb = run->verb,
		.id = str_from_gstring(run->id),
		.name = str_from_gstring(run->name),
		.text = str_from_gstring(run->text),
	};
	char *key;

	if (run->verb == RELAY_EXECUTE) {
		key = prepared_key(prepared_of(s));
		st.name = str_from_c(g_hash_table_lookup(c->prepared, key));
		g_free(key);
	}
	if (s->state == 'I' && !run->writes)
		st.after = run->after;
	st.wait_us = wait_at_us(c, run, now_us);
	st.account = account_at(c);
	run->sent = true;
	rcn_send(c, STEP_CALLER, &st, time_left_us(run, now_us), now_us);
}

/* Sends the next statement that the session's run needs. */
void rstep_next(struct rconn *c, uint64_t now_us)
{
	if (send_reset(c, now_us) || send_value(c, now_us) ||
	    send_prepare(c, now_us) || send_begin(c, now_us))
		return;
	send_own(c, now_us);
}

/* Notes what a step before the caller's did; false when it was refused. */
bool rstep_done(struct rconn *c, enum rstep step,
		const struct relay_answer *answer)
{
	if (answer->code != RELAY_OK)
		return false;
	switch (step) {
	case STEP_RESET:
		g_hash_table_remove_all(c->values);
		g_hash_table_remove_all(c->prepared);
		c->n_names = 0;
		break;
	case STEP_SET:
		g_hash_table_replace(c->values, c->step_key, c->step_value);
		c->step_key = c->step_value = NULL;
		break;
	case STEP_PREPARE:
		g_hash_table_replace(c->prepared, c->step_key, c->step_value);
		c->step_key = c->step_value = NULL;
		break;
	default:
		break;
	}
	return true;
}
