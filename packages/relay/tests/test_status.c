/*
 * Operators look at /status to see where a service's statements run, what
 * waits there and which accounts hold the connections.
 */
#include "support_history.h"
#include "support_log.h"

#include <celeryquay/suite.h>
#include <string.h>

#define RELAYS 11 /* too many for each to connect to 25 connections */
#define CONNECTIONS 25 /* for five homes of a service that isn't pooled */
#define CALLERS 12 /* more than statements in flight at a server */
#define EXTRA_ACCOUNTS 25 /* more than are named for a server */

static struct fake *start(void)
{
	struct fake *f = fake_create_accounts(1, RELAYS, 1);

	f->max_connections = CONNECTIONS;
	f->config_version++;
	fake_run(f, 2 * USEC_PER_SEC);
	return f;
}

static void end(struct fake *f)
{
	ck_assert_str_eq(hist_check(f), "");
	fake_destroy(f);
}

static struct rservice *service_at(const struct fake *f, unsigned relay)
{
	return g_hash_table_lookup(f->relays[relay].relay->services, "group0");
}

/* The relay of that rank, 0 the first. */
static unsigned ranked(const struct fake *f, unsigned rank)
{
	unsigned i = 0;

	while (service_at(f, i)->rank.n_ranked_before != rank)
		i++;
	return i;
}

/* The status of the relay; *v is its only service. */
static JsonNode *status_of(struct fake *f, unsigned relay, JsonObject **v)
{
	GString *out = g_string_new(NULL);
	JsonNode *root;

	relay_write_status(f->relays[relay].relay, out, f->now_us);
	root = json_from_string(out->str, NULL);
	ck_assert_msg(root != NULL, "not JSON: %s", out->str);
	g_string_free(out, TRUE);
	*v = json_array_get_object_element(
		json_object_get_array_member(json_node_get_object(root),
					     "services"),
		0);
	return root;
}

static void check_homes(const struct fake *f, JsonObject *v)
{
	JsonArray *homes = json_object_get_array_member(v, "homes");
	unsigned i;

	ck_assert_uint_eq(json_array_get_length(homes), SPLACE_POOLED_HOMES);
	for (i = 0; i < SPLACE_POOLED_HOMES; i++)
		ck_assert_str_eq(json_array_get_string_element(homes, i),
				 f->relays[ranked(f, i)].name);
}

static JsonObject *server_of(JsonObject *v, const char *id)
{
	JsonArray *list = json_object_get_array_member(v, "server_list");
	unsigned i;

	for (i = 0; i < json_array_get_length(list); i++) {
		JsonObject *s = json_array_get_object_element(list, i);

		if (!strcmp(json_object_get_string_member(s, "server"), id))
			return s;
	}
	ck_abort_msg("no server %s", id);
	return NULL;
}

/* Guards against ranks and orders of homes that differ between proxies. */
START_TEST(homes_are_listed_by_rank)
{
	struct fake *f = start();
	unsigned rank;

	for (rank = 0; rank < SPLACE_POOLED_HOMES; rank++) {
		JsonObject *v;
		JsonNode *root = status_of(f, ranked(f, rank), &v);

		ck_assert(json_object_get_boolean_member(v, "pooled"));
		ck_assert_int_eq(json_object_get_int_member(v, "rank"), rank);
		check_homes(f, v);
		/* Members that programs have read before. */
		ck_assert_str_eq(json_object_get_string_member(v, "service"),
				 "group0");
		ck_assert_int_eq(json_object_get_int_member(v, "term"), 1);
		ck_assert_str_eq(json_object_get_string_member(v, "primary"),
				 "s0");
		ck_assert(json_object_has_member(v, "holds"));
		ck_assert(json_object_has_member(v, "withheld"));
		ck_assert_int_eq(json_object_get_int_member(v, "servers"), 3);
		json_node_unref(root);
	}
	end(f);
}
END_TEST

/* Guards against a proxy that is no home and shows a rank, or other homes. */
START_TEST(an_entry_lists_homes_in_use)
{
	struct fake *f = start();
	unsigned entry = ranked(f, SPLACE_POOLED_HOMES);
	struct hist_session *s = hist_open(f, entry, 0, RELAY_KIND_PRIMARY);
	JsonObject *v;
	JsonNode *root;

	ck_assert_int_eq(hist_run(f, s, RELAY_WRITE, "", "1"), RELAY_OK);
	root = status_of(f, entry, &v);
	ck_assert(!json_object_has_member(v, "rank"));
	ck_assert(!json_object_has_member(v, "server_list"));
	check_homes(f, v);
	json_node_unref(root);
	end(f);
}
END_TEST

/* Guards against connections and waiting statements that are not counted. */
START_TEST(connections_and_the_queue_are_shown)
{
	struct fake *f = start();
	unsigned home = ranked(f, 0), i, n_queued = 0, n_conns = 0;
	JsonObject *v, *server;
	JsonArray *list;
	JsonNode *root;

	f->servers[0].work_us = 150 * MS;
	for (i = 0; i < CALLERS; i++) {
		struct hist_session *s =
			hist_open(f, home, 0, RELAY_KIND_PRIMARY);

		ck_assert_int_eq(hist_run(f, s, RELAY_READ, "", "1"), RELAY_OK);
	}
	for (i = 0; i < CALLERS; i++)
		hist_start(f, hist_open(f, home, 0, RELAY_KIND_PRIMARY),
			   RELAY_READ, "", "1");
	fake_run(f, 30 * MS);
	root = status_of(f, home, &v);
	server = server_of(v, "s0");
	ck_assert_int_eq(json_object_get_int_member(server, "slots"),
			 FAKE_SLOTS);
	ck_assert_int_ge(json_object_get_int_member(server, "busy"), 1);
	list = json_object_get_array_member(server, "accounts");
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonObject *a = json_array_get_object_element(list, i);

		n_conns += (unsigned)(json_object_get_int_member(a, "idle") +
				      json_object_get_int_member(a, "in_use") +
				      json_object_get_int_member(a, "opening"));
	}
	ck_assert_int_eq(json_object_get_int_member(server, "connections"),
			 n_conns);
	list = json_object_get_array_member(v, "queue");
	for (i = 0; i < json_array_get_length(list); i++) {
		JsonObject *a = json_array_get_object_element(list, i);

		ck_assert(g_str_has_prefix(
			json_object_get_string_member(a, "account"),
			"account"));
		ck_assert(json_object_has_member(a, "priority"));
		n_queued +=
			(unsigned)json_object_get_int_member(a, "statements");
	}
	ck_assert_uint_gt(n_queued, 0);
	ck_assert_int_eq(json_object_get_int_member(json_node_get_object(root),
						    "waiting"),
			 n_queued);
	json_node_unref(root);
	fake_run(f, 5 * USEC_PER_SEC);
	end(f);
}
END_TEST

/*
 * Guards against a status that grows with the number of accounts, and against
 * an account's name that breaks the JSON.
 */
START_TEST(accounts_of_a_server_are_bounded)
{
	struct fake *f = start();
	unsigned home = ranked(f, 0), i;
	struct rserver *s =
		g_hash_table_lookup(f->relays[home].relay->servers, "s0");
	JsonObject *v, *server, *first;
	JsonArray *list;
	JsonNode *root;

	for (i = 0; i < EXTRA_ACCOUNTS; i++) {
		char *name = g_strdup_printf("extra%u", i);

		rconn_open(s, name, f->now_us);
		g_free(name);
	}
	for (i = 0; i < 3; i++)
		rconn_open(s, "a\"b", f->now_us);
	root = status_of(f, home, &v);
	server = server_of(v, "s0");
	list = json_object_get_array_member(server, "accounts");
	ck_assert_uint_eq(json_array_get_length(list), 20);
	first = json_array_get_object_element(list, 0);
	ck_assert_str_eq(json_object_get_string_member(first, "account"),
			 "a\"b");
	ck_assert_int_eq(json_object_get_int_member(first, "opening"), 3);
	ck_assert_int_ge(json_object_get_int_member(server, "more_accounts"),
			 EXTRA_ACCOUNTS + 1 - 20);
	json_node_unref(root);
	fake_run(f, USEC_PER_SEC);
	end(f);
}
END_TEST

/*
 * A statement is refused since no server is usable; later one of its session is
 * served at once. Guards against its line showing an earlier one's forecast.
 */
START_TEST(a_forecast_is_of_its_own_statement)
{
	struct fake *f = start();
	unsigned home = ranked(f, 0), i;
	struct hist_session *s = hist_open(f, home, 0, RELAY_KIND_PRIMARY);
	FILE *log = fake_log_open(f);
	GPtrArray *lines;
	JsonObject *last;

	f->relays[home].relay->settings.log_sample = 1;
	for (i = 0; i < GROUP_SIZE; i++)
		fake_crash(f, i);
	ck_assert_int_eq(hist_run(f, s, RELAY_READ, "", "1"), RELAY_BUSY);
	lines = fake_log_lines(log, "statement");
	last = fake_log_line(lines, lines->len - 1);
	ck_assert_str_eq(json_object_get_string_member(last, "expected_wait"),
			 "no-server");
	g_ptr_array_unref(lines);
	for (i = 0; i < GROUP_SIZE; i++)
		fake_restart(f, i);
	fake_run(f, 10 * USEC_PER_SEC);
	/* The first one waits for a connection, the second one for nothing. */
	ck_assert_int_eq(hist_run(f, s, RELAY_READ, "", "1"), RELAY_OK);
	ck_assert_int_eq(hist_run(f, s, RELAY_READ, "", "1"), RELAY_OK);
	lines = fake_log_lines(log, "route");
	ck_assert_uint_gt(lines->len, 0);
	last = fake_log_line(lines, lines->len - 1);
	ck_assert(!json_object_has_member(last, "expected_wait"));
	ck_assert_int_eq(json_object_get_int_member(last, "expected_wait_ms"),
			 0);
	g_ptr_array_unref(lines);
	fake_log_close(log);
	end(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("status");

	tcase_add_test(tc, homes_are_listed_by_rank);
	tcase_add_test(tc, an_entry_lists_homes_in_use);
	tcase_add_test(tc, connections_and_the_queue_are_shown);
	tcase_add_test(tc, accounts_of_a_server_are_bounded);
	tcase_add_test(tc, a_forecast_is_of_its_own_statement);
	return suite_main("status", tc);
}
