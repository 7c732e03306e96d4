#include "causes.h"
#include "cli.h"
#include "explain.h"

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
