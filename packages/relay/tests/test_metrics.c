#include "support_history.h"

#include <celeryquay/suite.h>
#include <stdlib.h>
#include <string.h>

/* A metric family as a scraper reads it. */
struct family {
	char *name;
	char *type;
	bool closed; /* another family began after it */
	uint64_t last_bucket; /* count of the last bucket so far */
	char *bucket_labels; /* of the histogram being read, without le */
	uint64_t inf; /* the same; at the end that of le=+Inf */
};

static GHashTable *families;
static GHashTable *series; /* "name{labels}" -> value as text */
static struct family *current;

static void family_free(gpointer data)
{
	struct family *f = data;

	g_free(f->name);
	g_free(f->type);
	g_free(f->bucket_labels);
	g_free(f);
}

static bool is_name(const char *s, size_t len)
{
	size_t i;

	if (!len || g_ascii_isdigit(*s))
		return false;
	for (i = 0; i < len; i++)
		if (!g_ascii_isalnum(s[i]) && s[i] != '_' && s[i] != ':')
			return false;
	return true;
}

static void begin_family(const char *name)
{
	ck_assert_msg(is_name(name, strlen(name)), "bad name: %s", name);
	ck_assert_msg(!g_hash_table_contains(families, name),
		      "family %s occurs twice", name);
	if (current)
		current->closed = true;
	current = g_new0(struct family, 1);
	current->name = g_strdup(name);
	g_hash_table_insert(families, current->name, current);
}

static void read_comment(const char *line)
{
	char **words = g_strsplit(line, " ", 4);

	ck_assert_uint_eq(g_strv_length(words), 4);
	if (!strcmp(words[1], "HELP")) {
		begin_family(words[2]);
	} else {
		ck_assert_str_eq(words[1], "TYPE");
		ck_assert_ptr_nonnull(current);
		ck_assert_str_eq(words[2], current->name);
		ck_assert_ptr_null(current->type);
		current->type = g_strdup(words[3]);
	}
	g_strfreev(words);
}

/* Labels are name="value",... without escapes, which ours don't need. */
static void check_labels(const char *labels)
{
	char **list = g_strsplit(labels, ",", -1);
	unsigned i;

	for (i = 0; list[i]; i++) {
		const char *eq = strchr(list[i], '=');
		size_t len = strlen(list[i]);

		ck_assert_msg(eq && is_name(list[i], (size_t)(eq - list[i])),
			      "bad label: %s", list[i]);
		ck_assert_msg(eq[1] == '"' && list[i][len - 1] == '"' &&
				      len > (size_t)(eq - list[i]) + 2,
			      "bad label: %s", list[i]);
	}
	g_strfreev(list);
}

/* Bucket counts never decrease, and the last one equals the total count. */
static void check_histogram(const char *suffix, const char *labels,
			    const char *value)
{
	uint64_t n = g_ascii_strtoull(value, NULL, 10);
	const char *le = strstr(labels, "le=\"");

	if (!strcmp(suffix, "_bucket")) {
		char *of;

		ck_assert_ptr_nonnull(le);
		of = g_strndup(labels, (gsize)(le - labels));
		if (g_strcmp0(of, current->bucket_labels)) {
			g_free(current->bucket_labels);
			current->bucket_labels = g_strdup(of);
			current->last_bucket = 0;
		}
		g_free(of);
		ck_assert_uint_ge(n, current->last_bucket);
		current->last_bucket = n;
		current->inf = n;
		return;
	}
	ck_assert_ptr_null(le);
	if (!strcmp(suffix, "_count"))
		ck_assert_uint_eq(n, current->inf);
	else
		ck_assert_str_eq(suffix, "_sum");
}

static void check_sample(const char *name, const char *labels,
			 const char *value)
{
	const char *suffix = name + strlen(current->name);
	char *end;

	ck_assert_msg(g_str_has_prefix(name, current->name),
		      "%s is not of the family %s", name, current->name);
	g_ascii_strtod(value, &end);
	ck_assert_msg(end != value && !*end, "not a number: %s", value);
	if (*labels)
		check_labels(labels);
	if (!strcmp(current->type, "histogram")) {
		check_histogram(suffix, labels, value);
		return;
	}
	ck_assert_str_eq(suffix, "");
	if (!strcmp(current->type, "counter"))
		ck_assert_msg(g_str_has_suffix(name, "_total"),
			      "counter %s lacks the suffix _total", name);
	else
		ck_assert_str_eq(current->type, "gauge");
}

static void read_sample(const char *line)
{
	const char *open = strchr(line, '{');
	const char *close = strchr(line, '}');
	char *name, *labels, *key;

	ck_assert_msg(open && close && close[1] == ' ', "%s", line);
	ck_assert_ptr_nonnull(current);
	ck_assert_ptr_nonnull(current->type);
	name = g_strndup(line, (gsize)(open - line));
	labels = g_strndup(open + 1, (gsize)(close - open - 1));
	key = g_strndup(line, (gsize)(close - line + 1));
	check_sample(name, labels, close + 2);
	ck_assert_msg(!g_hash_table_contains(series, key),
		      "series %s occurs twice", key);
	g_hash_table_insert(series, key, g_strdup(close + 2));
	g_free(labels);
	g_free(name);
}

static void read_metrics(const char *text)
{
	char **lines = g_strsplit(text, "\n", -1);
	unsigned i, n = g_strv_length(lines);

	current = NULL;
	families = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 family_free);
	series = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	ck_assert_str_eq(lines[n - 1], "");
	for (i = 0; i + 1 < n; i++) {
		if (*lines[i] == '#')
			read_comment(lines[i]);
		else
			read_sample(lines[i]);
	}
	g_strfreev(lines);
}

static void end_metrics(void)
{
	g_hash_table_destroy(families);
	g_hash_table_destroy(series);
}

static uint64_t value(const char *key)
{
	const char *text = g_hash_table_lookup(series, key);

	ck_assert_msg(text != NULL, "no series %s", key);
	return g_ascii_strtoull(text, NULL, 10);
}

static void scrape(struct fake *f)
{
	struct fake_relay *r = &f->relays[0];
	GString *out = g_string_new(NULL);

	relay_set_gauges(r->relay, f->now_us);
	counter_write(r->counters, out);
	read_metrics(out->str);
	g_string_free(out, TRUE);
}

#define STATEMENTS(kind, outcome)                                           \
	value("celeryquay_relay_statement_seconds_count{kind=\"" kind "\"," \
	      "outcome=\"" outcome "\"}")

/*
 * Operators look at a graph of refused statements to see whether an incident is
 * over. Guards against metrics that don't show what callers got, and against a
 * page that a scraper rejects.
 */
START_TEST(test_metrics_show_what_callers_got)
{
	struct fake *f = fake_create(2, 2, 1);
	struct hist_session *s;
	unsigned i;

	fake_run(f, USEC_PER_SEC);
	fake_set_store_reachable(f, 0, true);
	relay_on_store_call(f->relays[0].relay, 4 * MS);
	s = hist_open(f, 0, 0, RELAY_KIND_PRIMARY);
	for (i = 0; i < 5; i++)
		ck_assert_int_eq(hist_run(f, s, RELAY_WRITE, "", "1"),
				 RELAY_OK);
	scrape(f);
	ck_assert_uint_eq(STATEMENTS("primary", "done"), 5);
	ck_assert_uint_eq(STATEMENTS("primary", "not_run"), 0);
	ck_assert_uint_eq(STATEMENTS("bounded", "done"), 0);
	ck_assert_uint_eq(value("celeryquay_relay_sessions{}"), 1);
	ck_assert_uint_eq(value("celeryquay_relay_servers{}"), 3);
	ck_assert_uint_eq(value("celeryquay_relay_servers_down{}"), 0);
	ck_assert_uint_eq(value("celeryquay_relay_wait_seconds_count{}"), 5);
	ck_assert_uint_eq(value("celeryquay_relay_server_seconds_count{}"), 5);
	ck_assert_uint_eq(value("celeryquay_relay_store_call_seconds_count{}"),
			  1);
	end_metrics();
	f->relays[0].deaf = true;
	fake_crash(f, 0);
	fake_run(f, 400 * MS);
	hist_run(f, s, RELAY_WRITE, "", "1");
	scrape(f);
	ck_assert_uint_eq(STATEMENTS("primary", "not_run"), 1);
	ck_assert_uint_eq(value("celeryquay_relay_servers_down{}"), 1);
	ck_assert_uint_ge(
		value("celeryquay_relay_server_list_age_milliseconds{}"), 400);
	end_metrics();
	fake_destroy(f);
}
END_TEST

static void run_into_hold(struct fake *f)
{
	const struct rservice *v =
		g_hash_table_lookup(f->relays[0].relay->services, "group0");
	uint64_t limit_us = f->now_us + 5 * USEC_PER_SEC;

	while (v->phase != PHASE_LEASE_EXPIRY && f->now_us < limit_us)
		fake_run(f, MS);
	ck_assert_int_eq(v->phase, PHASE_LEASE_EXPIRY);
}

/*
 * A server is listed while the others are paused, and has to be paused too.
 * Operators must see that changes of primary are delayed by servers that are
 * added, and that a server which never takes its pause is sent it again and
 * again.
 */
START_TEST(test_metrics_show_pauses_and_fences)
{
	struct fake *f = fake_create(3, 1, 1);

	fake_run(f, 6 * USEC_PER_SEC);
	scrape(f);
	ck_assert_uint_eq(value("celeryquay_relay_pauses_total{}"), 0);
	end_metrics();
	fake_crash(f, 0);
	run_into_hold(f);
	scrape(f);
	ck_assert_uint_eq(value("celeryquay_relay_pauses_total{}"), 2);
	ck_assert_uint_eq(value("celeryquay_relay_fences_again_total{}"), 0);
	end_metrics();
	fake_add_replica(f, 0);
	fake_run(f, 4 * USEC_PER_SEC);
	scrape(f);
	ck_assert_uint_eq(value("celeryquay_relay_pauses_total{}"), 3);
	ck_assert_uint_eq(value("celeryquay_relay_fences_again_total{}"), 1);
	end_metrics();
	fake_destroy(f);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("metrics");

	tcase_add_test(tc, test_metrics_show_what_callers_got);
	tcase_add_test(tc, test_metrics_show_pauses_and_fences);
	return suite_main("metrics", tc);
}
