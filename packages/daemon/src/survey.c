#define LOG_MODULE "survey"
#include "survey.h"
#include "remote.h"

#include <celeryquay/base/str.h>

#include <inttypes.h>
#include <string.h>

/* Members that have not answered by then are slow or unreachable. */
#define TIMEOUT_US (500 * USEC_PER_MSEC)

/*
 * Query ids count up from the incarnation (the start time in ms) shifted left
 * by this many bits. So the ids of two runs differ unless one of them uses more
 * than 2^20 per ms.
 */
#define ID_SEQUENCE_BITS 20

/* Text messages between proxies: the query, and the answer's prefix. */
#define MSG_REVISION_QUERY "revision?"
#define MSG_REVISION_ANSWER "revision="

struct survey_query {
	uint64_t id;
	uint64_t deadline_us;
	GHashTable *answers; /* name -> revision text */
	unsigned n_expected; /* number of answers expected, our own included */
	survey_fn done;
	void *user;
};

struct survey {
	struct node *node;
	GHashTable *queries; /* id -> struct survey_query */
	uint64_t next_id;
};

static void query_destroy(gpointer data)
{
	struct survey_query *q = data;

	g_hash_table_destroy(q->answers);
	g_free(q);
}

struct survey *survey_create(struct node *node)
{
	struct survey *s = g_new0(struct survey, 1);

	s->node = node;
	/* Late answers to queries of an earlier run must match no new one. */
	s->next_id = node->incarnation << ID_SEQUENCE_BITS;
	s->queries = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   query_destroy);
	return s;
}

/* Open queries end without a call of done(). */
void survey_destroy(struct survey *s)
{
	if (!s)
		return;
	g_hash_table_destroy(s->queries);
	g_free(s);
}

static bool is_gone(const struct member_info *m)
{
	return m->state == MEMBER_DEAD || m->state == MEMBER_LEFT;
}

static void finish(struct survey *s, struct survey_query *q)
{
	unsigned i, n = members_count(s->node->members);
	GString *json = g_string_new("[");
	const char *comma = "";

	for (i = 0; i < n; i++) {
		const struct member_info *m = members_at(s->node->members, i);
		const char *revision = g_hash_table_lookup(q->answers, m->name);

		if (is_gone(m))
			continue;
		g_string_append_printf(json,
				       "%s{\"name\":\"%s\",\"data_centre\":"
				       "\"%s\",\"revision\":%s}",
				       comma, m->name, m->data_centre,
				       revision ? revision : "null");
		comma = ",";
	}
	g_string_append_c(json, ']');
	q->done(q->user, json);
	g_string_free(json, TRUE);
	g_hash_table_remove(s->queries, &q->id);
}

static void add_answer(struct survey *s, const char *from, uint64_t id,
		       const char *text)
{
	struct survey_query *q = g_hash_table_lookup(s->queries, &id);
	uint64_t revision;

	if (!q || !str_to_u64(str_from_c(text), &revision))
		return;
	g_hash_table_replace(q->answers, g_strdup(from), g_strdup(text));
	if (g_hash_table_size(q->answers) >= q->n_expected)
		finish(s, q);
}

static struct survey_query *query_all(struct survey *s, survey_fn done,
				      void *user)
{
	unsigned i, n = members_count(s->node->members);
	struct survey_query *q = g_new0(struct survey_query, 1);

	q->id = ++s->next_id;
	q->deadline_us = node_now_us() + TIMEOUT_US;
	q->answers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	q->done = done;
	q->user = user;
	g_hash_table_insert(s->queries, &q->id, q);
	for (i = 0; i < n; i++) {
		const struct member_info *m = members_at(s->node->members, i);

		if (is_gone(m))
			continue;
		q->n_expected++;
		if (!node_is_self(s->node, m))
			remote_send_admin_message(s->node->remote, m, q->id,
						  MSG_REVISION_QUERY);
	}
	return q;
}

/* Queries all live members, this node included. */
void survey_start(struct survey *s, survey_fn done, void *user)
{
	struct survey_query *q = query_all(s, done, user);
	char own[32];

	g_snprintf(own, sizeof(own), "%" PRIu64,
		   confsync_revision(s->node->confsync));
	add_answer(s, s->node->settings->name, q->id, own);
}

/* Handles another proxy's query, or the answer to one of our own. */
bool survey_on_message(struct survey *s, const struct member_info *from,
		       uint64_t id, const char *msg)
{
	char reply[64];

	if (!strcmp(msg, MSG_REVISION_QUERY)) {
		g_snprintf(reply, sizeof(reply), MSG_REVISION_ANSWER "%" PRIu64,
			   confsync_revision(s->node->confsync));
		remote_send_admin_message(s->node->remote, from, id, reply);
		return true;
	}
	if (!g_str_has_prefix(msg, MSG_REVISION_ANSWER))
		return false;
	add_answer(s, from->name, id, msg + strlen(MSG_REVISION_ANSWER));
	return true;
}

/* Ends the queries that timed out, with the answers received so far. */
void survey_tick(struct survey *s, uint64_t now_us)
{
	GList *all = g_hash_table_get_values(s->queries);
	GList *l;

	for (l = all; l; l = l->next) {
		struct survey_query *q = l->data;

		if (now_us >= q->deadline_us)
			finish(s, q);
	}
	g_list_free(all);
}
