#define LOG_MODULE "planned_move"
#include "planned_move.h"
#include "databases.h"
#include "remote.h"

#include <celeryquay/base/str.h>

#include <inttypes.h>
#include <string.h>

/* A home answers at once; without an answer by then it is unreachable. */
#define TIMEOUT_US (2 * USEC_PER_SEC)

/*
 * Request ids count up from the incarnation (the start time in ms) shifted left
 * by this many bits. So the ids of two runs differ unless one of them uses more
 * than 2^20 per ms.
 */
#define ID_SEQUENCE_BITS 20

/*
 * Text messages between proxies: "move? SERVICE/DATABASE SERVER" is answered by
 * "move= CODE TEXT".
 */
#define MSG_MOVE_REQUEST "move? "
#define MSG_MOVE_ANSWER "move= "

/* A request to a home that has not answered yet. */
struct move_request {
	uint64_t id;
	uint64_t deadline_us;
	char home[64]; /* name of the home */
	planned_move_fn done;
	void *user;
};

struct planned_move {
	struct node *node;
	GHashTable *requests; /* id -> struct move_request */
	uint64_t next_id;
};

struct planned_move *planned_move_create(struct node *node)
{
	struct planned_move *m = g_new0(struct planned_move, 1);

	m->node = node;
	/* Late answers to requests of an earlier run must match no new one. */
	m->next_id = node->incarnation << ID_SEQUENCE_BITS;
	m->requests = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	return m;
}

/* Open requests end without a call of done(). */
void planned_move_destroy(struct planned_move *m)
{
	if (!m)
		return;
	g_hash_table_destroy(m->requests);
	g_free(m);
}

/* The database's first home; NULL with err set if it has none. */
static const struct member_info *first_home(struct planned_move *m,
					    const char *database,
					    struct err *err)
{
	char *key = g_strconcat("database/", database, NULL);
	struct item *item = model_get(m->node->model, key);
	const struct member_info *home = NULL;

	g_free(key);
	if (!item || item->removed || item->kind != ITEM_DATABASE)
		err_set(err, ERR_NO_SUCH_DATABASE,
			"database %s is not in the configuration", database);
	else if (!databases_homes(m->node->databases, &item->u.database, &home,
				  1))
		err_set(err, ERR_NO_HOME, "database %s currently has no home",
			database);
	return home;
}

/* Begins the change on this node, which must be a home. */
static void begin_move(struct planned_move *m, const char *database,
		       const char *server, struct err *err)
{
	const char *slash = strchr(database, '/');
	struct str service = { .data = database };
	struct group *g;

	service.len = slash ? (size_t)(slash - database) : 0;
	g = databases_group(m->node->databases, service,
			    str_from_c(slash ? slash + 1 : ""));
	if (g)
		group_move_primary(g, server, node_now_us(), err);
	else
		err_set(err, ERR_NO_HOME,
			"this proxy is not a home of database %s", database);
}

static void send_request(struct planned_move *m, const struct member_info *home,
			 const char *database, const char *server,
			 planned_move_fn done, void *user)
{
	struct move_request *r = g_new0(struct move_request, 1);
	char *msg = g_strconcat(MSG_MOVE_REQUEST, database, " ", server, NULL);

	r->id = ++m->next_id;
	r->deadline_us = node_now_us() + TIMEOUT_US;
	g_strlcpy(r->home, home->name, sizeof(r->home));
	r->done = done;
	r->user = user;
	g_hash_table_insert(m->requests, &r->id, r);
	remote_send_admin_message(m->node->remote, home, r->id, msg);
	g_free(msg);
}

/* Begins the change here, or asks the first home to do so. */
void planned_move_start(struct planned_move *m, const char *database,
			const char *server, planned_move_fn done, void *user)
{
	struct err err = { 0 };
	const struct member_info *home = first_home(m, database, &err);

	if (home && !node_is_self(m->node, home)) {
		send_request(m, home, database, server, done, user);
		return;
	}
	if (home)
		begin_move(m, database, server, &err);
	done(user, &err);
}

/* Handles another proxy's request; text is "SERVICE/DATABASE SERVER". */
static void on_request(struct planned_move *m, const struct member_info *from,
		       uint64_t id, const char *text)
{
	char **parts = g_strsplit(text, " ", 2);
	struct err err = { 0 };
	char *reply;

	if (g_strv_length(parts) == 2)
		begin_move(m, parts[0], parts[1], &err);
	else
		err_set(&err, ERR_BAD_MESSAGE,
			"the request lacks the database or the server");
	reply = g_strdup_printf(MSG_MOVE_ANSWER "%d %s", err.code, err.message);
	remote_send_admin_message(m->node->remote, from, id, reply);
	g_free(reply);
	g_strfreev(parts);
}

static void finish(struct planned_move *m, struct move_request *r,
		   const struct err *err)
{
	g_hash_table_steal(m->requests, &r->id);
	r->done(r->user, err);
	g_free(r);
}

static void on_reply(struct planned_move *m, const struct member_info *from,
		     uint64_t id, const char *text)
{
	struct move_request *r = g_hash_table_lookup(m->requests, &id);
	struct err err = { 0 };
	char *message;
	guint64 code;

	if (!r || strcmp(r->home, from->name) != 0)
		return;
	code = g_ascii_strtoull(text, &message, 10);
	if (code)
		err_set(&err, (enum err_code)code, "%s", g_strchug(message));
	if (code && err_info(err.code)->code != err.code)
		err_set(&err, ERR_BAD_MESSAGE,
			"the home %s answered with an unknown code: '%s'",
			r->home, text);
	finish(m, r, &err);
}

/* Handles another proxy's request, or the answer to one of our own. */
bool planned_move_on_message(struct planned_move *m,
			     const struct member_info *from, uint64_t id,
			     const char *msg)
{
	if (g_str_has_prefix(msg, MSG_MOVE_REQUEST))
		on_request(m, from, id, msg + strlen(MSG_MOVE_REQUEST));
	else if (g_str_has_prefix(msg, MSG_MOVE_ANSWER))
		on_reply(m, from, id, msg + strlen(MSG_MOVE_ANSWER));
	else
		return false;
	return true;
}

/* Ends the requests that timed out. */
void planned_move_tick(struct planned_move *m, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(m->requests);
	GList *l;

	for (l = all; l; l = l->next) {
		struct move_request *r = l->data;
		struct err err = { 0 };

		if (now_us < r->deadline_us)
			continue;
		err_set(&err, ERR_PEER_LOST,
			"the home %s did not answer in time; "
			"the change may have begun",
			r->home);
		finish(m, r, &err);
	}
	g_list_free(all);
}
