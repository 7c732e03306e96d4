#include "support_operator.h"

#include <glib/gstdio.h>
#include <string.h>
#include <sys/wait.h>

#define GOOD                                                                   \
	"{\"name\":\"p1\",\"data_centre\":\"hall-a\",\"region\":\"fi-south\"," \
	"\"callers\":{\"host\":\"127.0.0.1\",\"port\":0},"                     \
	"\"operators\":{\"host\":\"127.0.0.1\",\"port\":0},"                   \
	"\"store\":{\"urls\":[\"http://127.0.0.1:9\"]},"                       \
	"\"peers\":{\"host\":\"127.0.0.1\",\"port\":0}}"
#define Z85_KEY "rq:rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7"

/* One text of the good settings in place of another, and what is told. */
struct bad {
	const char *text;
	const char *with;
	const char *key;
	const char *reason;
};

static const struct bad table[] = {
	{ GOOD, "", "", "" },
	{ GOOD, "[]", "", "not a JSON object" },
	{ "}}", "}", "", "" },
	{ "\"name\":\"p1\",", "", "name", "missing" },
	{ "\"p1\"", "\"p 1\"", "name", "only letters" },
	{ "\"p1\"", "7", "name", "expected a string" },
	{ "\"region\":", "\"regoin\":", "region", "missing" },
	{ "{\"name\"", "{\"nmae\":1,\"name\"", "nmae", "unknown key" },
	{ "\"callers\":{\"host\":\"127.0.0.1\"",
	  "\"callers\":{\"host\":\"localhost\"", "callers: host",
	  "'localhost' is not an IP number" },
	{ "\"operators\":{\"host\":\"127.0.0.1\",\"port\":0",
	  "\"operators\":{\"host\":\"127.0.0.1\",\"port\":70000",
	  "operators: port", "70000 is not from 0 to 65535" },
	{ "\"operators\":{\"host\":\"127.0.0.1\",\"port\":0",
	  "\"operators\":{\"host\":\"127.0.0.1\",\"port\":\"x\"",
	  "operators: port", "expected a whole number" },
	{ "\"callers\":{", "\"callers\":{\"tls_certificate\":\"/x.pem\",",
	  "callers: tls_key", "go together" },
	{ "\"callers\":{",
	  "\"callers\":{\"tls_certificate\":\"/x.pem\",\"tls_key\":\"/x.key\",",
	  "callers: tls_certificate", "No such file" },
	{ "[\"http://127.0.0.1:9\"]", "[]", "store: urls", "at least one" },
	{ "http://", "", "store: urls", "is not an HTTP URL" },
	{ "\"peers\":{", "\"peers\":{\"seeds\":[\"10.0.0.1\"],", "peers: seeds",
	  "number:port" },
	{ "\"peers\":{", "\"peers\":{\"seeds\":[\"node-1:7000\"],",
	  "peers: seeds", "'node-1' is not an IP number" },
	{ "\"peers\":{", "\"peers\":{\"announce\":\"10.0.0.1:0\",",
	  "peers: announce", "number:port" },
	{ "\"peers\":{", "\"peers\":{\"curve_secret\":\"" Z85_KEY "\",",
	  "peers: curve_secret", "go together" },
	{ "\"peers\":{",
	  "\"peers\":{\"curve_secret\":\"short\",\"curve_public\":\"" Z85_KEY
	  "\",",
	  "peers: curve_secret", "40 characters" },
	{ "\"peers\":{",
	  "\"peers\":{\"curve_secret\":\"" Z85_KEY "\",\"curve_public\":"
	  "\"rq rM>}U?@Lns47E1%kR.o@n%FcmmsL/@{H8]yf7\",",
	  "peers: curve_public", "Z85" },
	{ "\"peers\":{", "\"peers\":{\"curve_allowed\":[\"" Z85_KEY "\"],",
	  "peers: curve_allowed", "everybody may connect" },
	{ "}}", "},\"operator_tokens_sha256\":[\"secret\"]}",
	  "operator_tokens_sha256", "64 digits" },
	{ "}}", "},\"log\":{\"level\":\"loud\"}}", "log: level",
	  "'loud' is not one of" },
	{ "}}", "},\"limits\":{\"max_body_bytes\":1}}",
	  "limits: max_body_bytes", "1 is not from 1024" },
	{ "}}", "},\"limits\":{\"max_bodies\":1}}", "limits: max_bodies",
	  "unknown key" },
	{ "}}", "},\"timing\":{\"stop_limit_ms\":0}}", "timing: stop_limit_ms",
	  "0 is not from 1" },
	{ "\"port\":0", "\"port\":7001", "operators",
	  "port 7001 is already used for callers" },
};

/* All places of a text, so that one row can say the same port twice. */
static char *replace(const char *in, const char *text, const char *with)
{
	char **parts = g_strsplit(in, text, -1);
	char *out = g_strjoinv(with, parts);

	g_strfreev(parts);
	return out;
}

static int run_daemon(const char *path, const char *more, char **out,
		      char **err_text)
{
	char *command = g_strdup_printf("%s/celeryquayd --settings %s %s",
					g_getenv("CQ_BIN"), path, more);
	int status = -1;

	ck_assert(g_spawn_command_line_sync(command, out, err_text, &status,
					    NULL));
	g_free(command);
	ck_assert(WIFEXITED(status));
	return WEXITSTATUS(status);
}

static void must_be_refused(const char *path, const struct bad *bad,
			    const char *more)
{
	char *out = NULL, *err_text = NULL;

	ck_assert_int_eq(run_daemon(path, more, &out, &err_text), 1);
	ck_assert_msg(!*out, "'%s' for '%s'", out, bad->with);
	ck_assert_msg(strstr(err_text, path) && strstr(err_text, bad->key) &&
			      strstr(err_text, bad->reason) &&
			      strstr(err_text, "1501"),
		      "'%s' for '%s'", err_text, bad->with);
	g_free(out);
	g_free(err_text);
}

/*
 * Story: at night a new VM gets a settings file with a slip in it. Whoever
 * looks must see which file, which key and why; nothing may start half and
 * listen on some ports, nor run without the encryption that was meant.
 */
START_TEST(bad_settings_start_nothing)
{
	char *dir = g_dir_make_tmp("celeryquay-settings-XXXXXX", NULL);
	char *path = g_build_filename(dir, "p1.json", NULL);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		char *text = replace(GOOD, table[i].text, table[i].with);

		ck_assert_str_ne(text, GOOD);
		ck_assert(g_file_set_contents(path, text, -1, NULL));
		must_be_refused(path, &table[i], "--check");
		must_be_refused(path, &table[i], "");
		g_free(text);
	}
	g_unlink(path);
	must_be_refused(path, &(struct bad){ "", "no file", "", "No such" },
			"--check");
	g_rmdir(dir);
	g_free(path);
	g_free(dir);
}
END_TEST

START_TEST(good_settings_pass_the_check_and_start_nothing)
{
	char *dir = g_dir_make_tmp("celeryquay-settings-XXXXXX", NULL);
	char *path = g_build_filename(dir, "p1.json", NULL);
	char *out = NULL, *err_text = NULL;

	ck_assert(g_file_set_contents(path, GOOD, -1, NULL));
	ck_assert_int_eq(run_daemon(path, "--check", &out, &err_text), 0);
	ck_assert_str_eq(out, "settings are good\n");
	g_free(out);
	g_free(err_text);
	g_unlink(path);
	g_rmdir(dir);
	g_free(path);
	g_free(dir);
}
END_TEST

/* A port that is taken: told at the start, with an exit code, no crash. */
START_TEST(taken_ports_are_told)
{
	static const char *const keys[] = { "callers", "operators", "peers" };
	struct cluster_spec spec;
	struct err err = { 0 };
	struct cluster *c;
	unsigned i;

	cluster_default(&spec);
	spec.n_databases = 1;
	spec.n_proxies = 1;
	c = cluster_start(&spec, &err);
	ck_assert_msg(c != NULL, "%s", err.message);
	for (i = 0; i < G_N_ELEMENTS(keys); i++) {
		char *path = g_build_filename(c->dir, "p2.json", NULL);
		char *from = g_strdup_printf(
			"\"%s\":{\"host\":\"127.0.0.1\",\"port\":0", keys[i]);
		char *with = g_strdup_printf(
			"\"%s\":{\"host\":\"127.0.0.1\",\"port\":%d", keys[i],
			c->proxies[0].http);
		char *text = replace(GOOD, from, with);
		char *out = NULL, *err_text = NULL;

		ck_assert_str_ne(text, GOOD);
		ck_assert(g_file_set_contents(path, text, -1, NULL));
		ck_assert_int_eq(run_daemon(path, "", &out, &err_text), 1);
		ck_assert_str_eq(out, "");
		ck_assert_msg(strstr(err_text, "1901") != NULL, "%s", err_text);
		g_free(err_text);
		g_free(out);
		g_free(text);
		g_free(with);
		g_free(from);
		g_free(path);
	}
	cluster_destroy(c);
}
END_TEST

int main(void)
{
	const TTest *const tests[] = {
		bad_settings_start_nothing,
		good_settings_pass_the_check_and_start_nothing,
		taken_ports_are_told,
	};

	return run_tests("settings", tests, G_N_ELEMENTS(tests));
}
