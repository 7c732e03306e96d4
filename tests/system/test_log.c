#include "support_operator.h"

#include <glib/gstdio.h>
#include <string.h>

/* A log of 256 KiB in the proxy and 64 KiB in its pipe is full by then. */
#define REQUESTS 2500

static char *log_dir;

static struct cluster *start(void)
{
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;

	log_dir = g_dir_make_tmp("celeryquay-log-XXXXXX", NULL);
	g_setenv("CQ_LOG_DIR", log_dir, TRUE);
	cluster_default(&spec);
	spec.lag_ms = 5;
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	return c;
}

/* The logs of the proxies, as paths, in one line for a shell. */
static char *proxy_logs(void)
{
	return g_strdup_printf("%s/celeryquayd.*.log", log_dir);
}

static void end(struct cluster *c)
{
	GDir *dir;
	const char *name;

	cluster_destroy(c);
	dir = g_dir_open(log_dir, 0, NULL);
	while ((name = g_dir_read_name(dir))) {
		char *path = g_build_filename(log_dir, name, NULL);

		g_unlink(path);
		g_free(path);
	}
	g_dir_close(dir);
	g_rmdir(log_dir);
	g_unsetenv("CQ_LOG_DIR");
	g_clear_pointer(&log_dir, g_free);
}

/* The exit code of `celeryquay explain`; *text is what it prints. */
static int explain(const char *id, char **text)
{
	char *logs = proxy_logs();
	char *command =
		g_strdup_printf("sh -c \"%s/celeryquay explain '%s' %s\"",
				g_getenv("CQ_BIN"), id, logs);
	int status = 0;

	ck_assert(
		g_spawn_command_line_sync(command, text, NULL, &status, NULL));
	g_free(command);
	g_free(logs);
	return WEXITSTATUS(status);
}

static char *all_logs(void)
{
	char *logs = proxy_logs();
	char *command = g_strdup_printf("sh -c \"cat %s\"", logs);
	char *out = NULL;

	ck_assert(g_spawn_command_line_sync(command, &out, NULL, NULL, NULL));
	g_free(command);
	g_free(logs);
	return out;
}

static unsigned count(const char *text, const char *word)
{
	unsigned n = 0;

	while ((text = strstr(text, word))) {
		text += strlen(word);
		n++;
	}
	return n;
}

/*
 * The log collector of one proxy hangs. Its callers must not notice: no
 * request waits or fails. When it reads again it is told what it missed.
 */
START_TEST(nobody_reads_the_log)
{
	struct cluster *c = start();
	struct caller *caller = caller_create(c);
	unsigned i;
	char *log;

	child_set_log_paused(c->proxies[0].child, true);
	for (i = 0; i < REQUESTS; i++)
		ck_assert_msg(caller_run(caller, 0, MILES, "read-any", NULL,
					 "SELECT 1", NULL) == 200,
			      "%s", caller_msg(caller));
	child_set_log_paused(c->proxies[0].child, false);
	do {
		caller_run(caller, 0, MILES, "read-any", NULL, "SELECT 1",
			   NULL);
		log = all_logs();
		i = strstr(log, "\"event\":\"log-dropped\"") != NULL;
		g_free(log);
	} while (!i);
	caller_destroy(caller);
	end(c);
}
END_TEST

/*
 * Each try has a line of its own, once. There may be two: right after the
 * start the proxies still settle who is a database's home, and one that has
 * just handed over says so.
 */
static void check_tries(const char *text)
{
	const char *at = strstr(text, " tries=");
	unsigned tries, i;

	ck_assert_msg(at != NULL, "%s", text);
	tries = (unsigned)strtoul(at + strlen(" tries="), NULL, 10);
	ck_assert_msg(tries > 0, "%s", text);
	ck_assert_msg(count(text, " dispatch\n") == tries, "%s", text);
	for (i = 1; i <= tries; i++) {
		char *attempt = g_strdup_printf(" attempt=%u ", i);

		ck_assert_msg(count(text, attempt) == 1, "%s", text);
		g_free(attempt);
	}
}

/*
 * A caller says that its submission of a drive failed. Its key is all that it
 * has; the logs of all proxies say what it was told and why.
 */
START_TEST(a_failed_request_is_explained_by_its_key)
{
	struct cluster *c = start();
	struct caller *caller = caller_create(c);
	char *text = NULL;
	int code;

	ck_assert_int_eq(caller_run(caller, 0, MILES, "write", "drive-7",
				    "INSERT INTO nowhere(x) VALUES (1)", NULL),
			 422);
	/* The home may write its line later than the entry. */
	do {
		g_free(text);
		code = explain("demo/drive-7", &text);
	} while (code || !strstr(text, " route\n"));
	ck_assert_msg(strstr(text, "demo/drive-7: STATEMENT_FAILED (1306), "
				   "rolled_back: the server refused a "
				   "statement") != NULL,
		      "%s", text);
	check_tries(text);
	/* Neither statements nor what servers say of them. */
	ck_assert_msg(!strstr(text, "nowhere"), "%s", text);
	g_free(text);
	ck_assert_int_eq(explain("demo/drive-8", &text), 4);
	g_free(text);
	caller_destroy(caller);
	end(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		nobody_reads_the_log,
		a_failed_request_is_explained_by_its_key,
	};

	return run_tests("log", tests, G_N_ELEMENTS(tests));
}
