#include "causes.h"
#include "cli.h"
#include "explain.h"
#include "load.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

typedef void (*read_fn)(void *reader, const char *name, FILE *log,
			struct err *err);

static void read_explain(void *reader, const char *name, FILE *log,
			 struct err *err)
{
	explain_read(reader, name, log, err);
}

static void read_causes(void *reader, const char *name, FILE *log,
			struct err *err)
{
	causes_read(reader, name, log, err);
}

static void read_load(void *reader, const char *name, FILE *log,
		      struct err *err)
{
	load_read(reader, name, log, err);
}

/* Reads one log, "-" for standard input; prints what is wrong with it. */
static enum cli_exit read_log(read_fn read, void *reader, const char *name)
{
	bool is_stdin = !strcmp(name, "-");
	FILE *log = is_stdin ? stdin : fopen(name, "r");
	struct err err = { 0 };

	if (!log)
		err_set(&err, ERR_BAD_LOG, "%s: %s", name, g_strerror(errno));
	else
		read(reader, name, log, &err);
	if (log && !is_stdin)
		fclose(log);
	if (!err.code)
		return CLI_OK;
	return cli_fail(CLI_FAILED, "%s (%d)", err.message, err.code);
}

/*
 * explain ID FILE...: prints what became of a statement. Broken lines of a log
 * are skipped; the exit code is then CLI_FAILED, or CLI_NOT_FOUND if no line
 * has the id.
 */
enum cli_exit cli_explain(struct cli *cli, char **args)
{
	struct explain *e = explain_create(args[0]);
	GString *out = g_string_new(NULL);
	enum cli_exit code = CLI_OK;
	unsigned i;

	for (i = 1; args[i]; i++) {
		if (read_log(read_explain, e, args[i]) != CLI_OK)
			code = CLI_FAILED;
	}
	if (!explain_found(e)) {
		code = cli_fail(CLI_NOT_FOUND, "%s: %s (%d)", args[0],
				err_info(ERR_NOT_LOGGED)->meaning,
				ERR_NOT_LOGGED);
		goto out;
	}
	if (cli->json)
		explain_write_json(e, out);
	else
		explain_write_text(e, out);
	fputs(out->str, stdout);
out:
	g_string_free(out, TRUE);
	explain_destroy(e);
	return code;
}

/* causes FILE...: counts why statements were refused or failed. */
enum cli_exit cli_causes(struct cli *cli, char **args)
{
	struct causes *c = causes_create();
	GString *out = g_string_new(NULL);
	enum cli_exit code = CLI_OK;
	unsigned i;

	for (i = 0; args[i]; i++) {
		if (read_log(read_causes, c, args[i]) != CLI_OK)
			code = CLI_FAILED;
	}
	if (cli->json)
		causes_write_json(c, out);
	else
		causes_write_text(c, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	causes_destroy(c);
	return code;
}

/* Reads the time given with an option; NULL: not given, *out stays. */
static enum cli_exit read_second(const char *option, const char *text,
				 int64_t *out)
{
	if (!text || load_parse_second(text, out))
		return CLI_OK;
	return cli_fail(CLI_USAGE,
			"--%s: expected a time such as 2026-12-02T19:38:31 "
			"(UTC) or seconds since 1970, got \"%s\"",
			option, text);
}

static enum cli_exit read_range(const struct cli *cli, struct load_range *range)
{
	enum cli_exit code;

	if (cli->top < 1)
		return cli_fail(CLI_USAGE, "--top: expected 1 or more, got %d",
				cli->top);
	if (cli->second && (cli->from || cli->to))
		return cli_fail(CLI_USAGE, "--second: expected without --from "
					   "and --to");
	*range = (struct load_range){ .from_s = INT64_MIN,
				      .to_s = INT64_MAX,
				      .top = (unsigned)cli->top };
	code = read_second("second", cli->second, &range->from_s);
	if (!code && cli->second)
		range->to_s = range->from_s;
	if (!code)
		code = read_second("from", cli->from, &range->from_s);
	if (!code)
		code = read_second("to", cli->to, &range->to_s);
	if (!code && range->from_s > range->to_s)
		code = cli_fail(CLI_USAGE,
				"--to: expected no time before --from");
	return code;
}

/* load FILE...: what was refused and what waited, by second. */
enum cli_exit cli_load(struct cli *cli, char **args)
{
	struct load_range range;
	struct load *l;
	GString *out;
	enum cli_exit code = read_range(cli, &range);
	unsigned i;

	if (code)
		return code;
	l = load_create(&range);
	out = g_string_new(NULL);
	for (i = 0; args[i]; i++) {
		if (read_log(read_load, l, args[i]) != CLI_OK)
			code = CLI_FAILED;
	}
	if (cli->json)
		load_write_json(l, out);
	else
		load_write_text(l, out);
	fputs(out->str, stdout);
	g_string_free(out, TRUE);
	load_destroy(l);
	return code;
}
