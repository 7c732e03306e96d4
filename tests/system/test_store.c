#include "support_operator.h"

#include <signal.h>
#include <string.h>

#define PREFIX "/celeryquay/v1/"
#define MANY 200
/* Of three proxies in one region. */
#define WATCHERS 2

static struct cluster *start(bool faults)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;

	cluster_default(&spec);
	spec.lag_ms = 20;
	spec.peer_faults = faults;
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	return c;
}

static long store_post(struct cluster *c, const char *path, const char *body)
{
	struct http_call call = { .body = body, .timeout_ms = 5000 };
	struct http_reply reply = { 0 };
	long status;

	http_call(c->http, c->store_port, path, &call, &reply);
	status = reply.status;
	http_reply_clear(&reply);
	return status;
}

/* A profile straight into the store, as by an operator at another proxy. */
static void put_profile(struct cluster *c, const char *name, unsigned deadline)
{
	char *key = g_strconcat(PREFIX "profile/", name, NULL);
	char *key64 = g_base64_encode((const guchar *)key, strlen(key));
	char *value = g_strdup_printf("{\"access\":\"read\",\"max_age_ms\":100,"
				      "\"idempotent\":true,\"deadline_ms\":%u,"
				      "\"change\":\"test\"}",
				      deadline);
	char *value64 = g_base64_encode((const guchar *)value, strlen(value));
	char *body = g_strdup_printf("{\"key\":\"%s\",\"value\":\"%s\"}", key64,
				     value64);

	ck_assert_int_eq(store_post(c, "/v3/kv/put", body), 200);
	g_free(body);
	g_free(value64);
	g_free(value);
	g_free(key64);
	g_free(key);
}

static void remove_profile(struct cluster *c, const char *name)
{
	char *key = g_strconcat(PREFIX "profile/", name, NULL);
	char *key64 = g_base64_encode((const guchar *)key, strlen(key));
	char *body = g_strdup_printf("{\"key\":\"%s\"}", key64);

	ck_assert_int_eq(store_post(c, "/v3/kv/deleterange", body), 200);
	g_free(body);
	g_free(key64);
	g_free(key);
}

/* The deadline of a profile at a proxy, 0 when there is no such profile. */
static int64_t deadline_at(struct cluster *c, unsigned proxy, const char *name)
{
	char *path = g_strconcat("/v1/items/profile/", name, NULL);
	struct http_reply reply = { 0 };
	int64_t deadline = -1;
	long status = operator_get(c, proxy, path, &reply);

	if (status == 200)
		deadline = json_object_get_int_member(
			json_object_get_object_member(reply.json, "value"),
			"deadline_ms");
	else if (status == 404)
		deadline = 0;
	http_reply_clear(&reply);
	g_free(path);
	return deadline;
}

struct wanted {
	struct cluster *c;
	unsigned proxies; /* the first so many */
	const char *name;
	int64_t deadline;
};

static bool is_in_force(void *user)
{
	struct wanted *w = user;
	unsigned i;

	for (i = 0; i < w->proxies; i++) {
		if (deadline_at(w->c, i, w->name) != w->deadline)
			return false;
	}
	return true;
}

static void must_come_in_force(struct cluster *c, unsigned proxies,
			       const char *name, int64_t deadline)
{
	struct wanted w = { c, proxies, name, deadline };

	ck_assert_msg(wait_until(is_in_force, &w),
		      "%s: %" G_GINT64_FORMAT " at proxy-1", name,
		      deadline_at(c, 0, name));
}

static void control(struct cluster *c, int port, const char *path,
		    const char *body)
{
	ck_assert_msg(cluster_control(c, port, path, body), "%s", path);
}

static bool all_watch(void *user)
{
	struct cluster *c = user;

	return standin_number(c, c->store_control, "watches") >= WATCHERS;
}

/*
 * Story: something between the proxies and the store forgets every connection
 * of a watch; they stay open, and nothing comes. An operator's change is
 * accepted by the store and never gets in force.
 */
START_TEST(silent_watches_hold_no_change_back)
{
	struct cluster *c = start(false);

	put_profile(c, "a", 1001);
	must_come_in_force(c, 3, "a", 1001);
	ck_assert(wait_until(all_watch, c));
	control(c, c->store_control, "/silent_watches", "{}");
	put_profile(c, "a", 1002);
	must_come_in_force(c, 3, "a", 1002);
	cluster_destroy(c);
}
END_TEST

/*
 * Story: the store can't be reached for long; meanwhile operators elsewhere
 * change 200 profiles and remove one, and the store forgets its old revisions,
 * so that no watch can go on where it stood. Back again, the proxies must have
 * all of it: also the removal, of which no event tells any more.
 */
START_TEST(changes_of_a_long_outage_are_caught_up_after_compaction)
{
	struct cluster *c = start(true);
	char name[16];
	unsigned i;

	put_profile(c, "gone", 1001);
	must_come_in_force(c, 3, "gone", 1001);
	for (i = 0; i < 3; i++) {
		char *route = g_strdup_printf("{\"route\":\"store-%s\"}",
					      c->proxies[i].name);

		control(c, c->faults_control, "/cut", route);
		g_free(route);
	}
	for (i = 0; i < MANY; i++) {
		g_snprintf(name, sizeof(name), "many-%u", i);
		put_profile(c, name, 2000 + i);
	}
	remove_profile(c, "gone");
	control(c, c->store_control, "/compact", "{}");
	ck_assert_int_eq(deadline_at(c, 0, "gone"), 1001);
	control(c, c->faults_control, "/heal", "{}");
	must_come_in_force(c, 3, "many-199", 2199);
	for (i = 0; i < MANY; i++) {
		g_snprintf(name, sizeof(name), "many-%u", i);
		must_come_in_force(c, 3, name, 2000 + i);
	}
	must_come_in_force(c, 3, "gone", 0);
	cluster_destroy(c);
}
END_TEST

/*
 * Story: the store sends old events again, after a reconnection of its own or
 * by a fault. A proxy that takes each event as news goes back to the values of
 * yesterday, and spreads them.
 */
START_TEST(replayed_events_revert_nothing)
{
	struct cluster *c = start(false);
	unsigned i;

	for (i = 1; i <= 5; i++)
		put_profile(c, "a", 1000 + i);
	put_profile(c, "b", 1001);
	remove_profile(c, "b");
	must_come_in_force(c, 3, "a", 1005);
	must_come_in_force(c, 3, "b", 0);
	control(c, c->store_control, "/replay", "{\"events\":6}");
	/* What is put now comes after the replay. */
	put_profile(c, "c", 1001);
	must_come_in_force(c, 3, "c", 1001);
	for (i = 0; i < 3; i++) {
		ck_assert_int_eq(deadline_at(c, i, "a"), 1005);
		ck_assert_int_eq(deadline_at(c, i, "b"), 0);
	}
	cluster_destroy(c);
}
END_TEST

static void cut_off(struct cluster *c, unsigned proxy, const char *path)
{
	char *store = g_strdup_printf("{\"route\":\"store-%s\"}",
				      c->proxies[proxy].name);
	char *peer = g_strdup_printf("{\"route\":\"peer-%s\"}",
				     c->proxies[proxy].name);

	control(c, c->faults_control, path, store);
	control(c, c->faults_control, path, peer);
	g_free(peer);
	g_free(store);
}

/*
 * Story: a proxy is cut off from its peers and from the store while operators
 * change one profile and remove another. When it is back it must take both
 * over, and must not give the others back what they had: the old value, or the
 * profile that was removed. A proxy that starts then must not learn it either.
 */
START_TEST(node_that_was_cut_off_catches_up_and_reverts_nothing)
{
	struct cluster *c = start(true);
	struct err err = { 0 };
	unsigned i;

	put_profile(c, "a", 1001);
	put_profile(c, "b", 1001);
	must_come_in_force(c, 3, "b", 1001);
	cut_off(c, 2, "/blackhole");
	put_profile(c, "a", 1002);
	remove_profile(c, "b");
	must_come_in_force(c, 2, "a", 1002);
	must_come_in_force(c, 2, "b", 0);
	ck_assert_int_eq(deadline_at(c, 2, "a"), 1001);
	control(c, c->faults_control, "/heal", "{\"reset_silent\":true}");
	must_come_in_force(c, 3, "a", 1002);
	must_come_in_force(c, 3, "b", 0);
	/* A whole exchange with the one that was away, then look again. */
	put_profile(c, "c", 1001);
	must_come_in_force(c, 3, "c", 1001);
	child_signal(c->proxies[0].child, SIGKILL);
	child_wait(c->proxies[0].child);
	ck_assert_msg(cluster_start_proxy(c, 0, &err), "%s", err.message);
	ck_assert(cluster_wait_healthy(c));
	for (i = 0; i < 3; i++) {
		ck_assert_int_eq(deadline_at(c, i, "a"), 1002);
		ck_assert_int_eq(deadline_at(c, i, "b"), 0);
	}
	cluster_destroy(c);
}
END_TEST

static int64_t store_revision(struct cluster *c)
{
	return standin_number(c, c->store_control, "revision");
}

static void restore(struct cluster *c, int64_t revision)
{
	char *body = g_strdup_printf("{\"revision\":%" G_GINT64_FORMAT "}",
				     revision);

	control(c, c->store_control, "/restore", body);
	g_free(body);
}

/* Whether the store holds the profile "a". */
static bool has_lost_item(void *user)
{
	struct cluster *c = user;
	char *key64 = g_base64_encode((const guchar *)PREFIX "profile/a",
				      strlen(PREFIX "profile/a"));
	char *body = g_strdup_printf("{\"key\":\"%s\"}", key64);
	struct http_call call = { .body = body, .timeout_ms = 5000 };
	struct http_reply reply = { 0 };
	bool has;

	http_call(c->http, c->store_port, "/v3/kv/range", &call, &reply);
	has = reply.json && json_object_has_member(reply.json, "kvs");
	http_reply_clear(&reply);
	g_free(body);
	g_free(key64);
	return has;
}

/* Fails if what is written under revisions given out again is ignored. */
START_TEST(changes_after_a_return_of_the_store_are_in_force)
{
	struct cluster *c = start(false);
	int64_t copy;
	unsigned i;

	put_profile(c, "a", 1001);
	must_come_in_force(c, 3, "a", 1001);
	copy = store_revision(c);
	for (i = 0; i < 10; i++)
		put_profile(c, "a", 2000 + i);
	must_come_in_force(c, 3, "a", 2009);
	restore(c, copy);
	put_profile(c, "a", 3001);
	must_come_in_force(c, 3, "a", 3001);
	put_profile(c, "b", 3002);
	must_come_in_force(c, 3, "b", 3002);
	cluster_destroy(c);
}
END_TEST

/* Fails if an item that was confirmed is gone with the store's return. */
START_TEST(a_lost_item_is_written_again)
{
	struct cluster *c = start(false);
	int64_t copy = store_revision(c);

	put_profile(c, "a", 1001);
	must_come_in_force(c, 3, "a", 1001);
	restore(c, copy);
	/* Comes in force only after the return was noticed. */
	put_profile(c, "b", 3002);
	must_come_in_force(c, 3, "b", 3002);
	must_come_in_force(c, 3, "a", 1001);
	ck_assert(wait_until(has_lost_item, c));
	cluster_destroy(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		silent_watches_hold_no_change_back,
		changes_after_a_return_of_the_store_are_in_force,
		a_lost_item_is_written_again,
		changes_of_a_long_outage_are_caught_up_after_compaction,
		replayed_events_revert_nothing,
		node_that_was_cut_off_catches_up_and_reverts_nothing,
	};

	return run_tests("store", tests, G_N_ELEMENTS(tests));
}
