/*
 * Prepares a connection for its session, one statement at a time: a reset, the
 * values, the prepared statement, BEGIN, and last the caller's own statement.
 */
#define LOG_MODULE "steps"
#include "wait.h"

#include <celeryquay/base/log.h>

#define SETUP_TIMEOUT_US USEC_PER_SEC /* of one step */
/* Statements prepared on one connection before it is reset. */
#define MAX_PREPARED_NAMES 200

/* Remembers what the step in flight sets; see rstep_on_answer(). */
static void remember_step(struct rconn *c, const char *key, const char *value)
{
	g_free(c->step_key);
	g_free(c->step_value);
	c->step_key = g_strdup(key);
	c->step_value = g_strdup(value);
}

/*
 * Whether the connection has values that the session doesn't have, or too many
 * prepared statements; only a reset removes these.
 */
static bool needs_reset(const struct rconn *c, const struct rsession *s)
{
	GHashTableIter iter;
	gpointer key;

	if (c->in_block || !s->relay->guards.clean_values)
		return false;
	if (c->n_names > MAX_PREPARED_NAMES)
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
	rconn_send(c, STEP_RESET, &st, SETUP_TIMEOUT_US, now_us);
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
		remember_step(c, key, value);
		st.name = str_from_c(key);
		st.text = str_from_c(value);
		rconn_send(c, STEP_SET, &st, SETUP_TIMEOUT_US, now_us);
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
 * Prepares the session's statement on the connection unless it is there. The
 * names that callers choose collide, so a connection uses names of its own, one
 * for each kind (read or write) and shape, which all its sessions share.
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
		remember_step(c, key, name);
		st.verb = p->writes ? RELAY_PREPARE_WRITE : RELAY_PREPARE_READ;
		st.name = str_from_c(name);
		st.text = str_from_c(p->shape);
		rconn_send(c, STEP_PREPARE, &st, SETUP_TIMEOUT_US, now_us);
	}
	g_free(key);
	return !has;
}

static uint64_t time_left_us(const struct rrun *run, uint64_t now_us)
{
	return run->deadline_us > now_us ? run->deadline_us - now_us : 1;
}

/* How long another proxy may wait for a server. Servers are not told (0). */
static uint64_t peer_wait_us(const struct rconn *c, const struct rrun *run,
			     uint64_t now_us)
{
	return c->server->service->peers ? rwait_peer_wait_us(run, now_us) : 0;
}

/* Sent to other proxies only; a connection to a server has one account. */
static struct str account_to_send(const struct rconn *c)
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
	st.wait_us = peer_wait_us(c, &s->run, now_us);
	st.account = account_to_send(c);
	/* A retry of the BEGIN has no id: it is the relay's own. */
	st.id = str_from_gstring(s->run.begin_id);
	c->in_block = true;
	rconn_send(c, STEP_BEGIN, &st, time_left_us(&s->run, now_us), now_us);
	g_string_truncate(s->run.begin_id, 0);
	return true;
}

static void send_statement(struct rconn *c, uint64_t now_us)
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
	st.wait_us = peer_wait_us(c, run, now_us);
	st.account = account_to_send(c);
	run->sent = true;
	rconn_send(c, STEP_CALLER, &st, time_left_us(run, now_us), now_us);
}

/* Sends the next statement that the session's run needs. */
void rstep_next(struct rconn *c, uint64_t now_us)
{
	if (send_reset(c, now_us) || send_value(c, now_us) ||
	    send_prepare(c, now_us) || send_begin(c, now_us))
		return;
	send_statement(c, now_us);
}

/* Handles the answer to a preparing step; false when it was refused. */
bool rstep_on_answer(struct rconn *c, enum rstep step,
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
