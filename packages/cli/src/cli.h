#ifndef CELERYQUAY_CLI_CLI_H
#define CELERYQUAY_CLI_CLI_H

/*
 * The operators' command line: a thin client of the operators' port of a proxy.
 * main.c has a table with the usage and the function of each command.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/client/http.h>
#include <stdbool.h>
#include <stdint.h>

/* Exit codes, as documented in celeryquay(1). */
enum cli_exit {
	CLI_OK = 0,
	CLI_FAILED = 1,
	CLI_USAGE = 2,
	CLI_CONFLICT = 3,
	CLI_NOT_FOUND = 4,
	CLI_NOT_IN_FORCE = 5,
	CLI_NO_ANSWER = 6,
};

struct cli {
	struct http *http;
	char *host;
	int port;
	char *token;
	char *ca_file;
	bool json;
	bool dry_run;
	int64_t expect_revision; /* -1: the revision that was read */
	int wait_s; /* longest wait for the change to take effect; 0: none */
	/* For `upstream add`. */
	char *data_centre;
	char *region;
	int slots;
	int connections;
	/* For `load`. */
	char *second; /* the only second that is shown, or NULL */
	char *from; /* first second, or NULL */
	char *to; /* last second, or NULL */
	int top; /* most rows of a list */
};

/* Calls the proxy; on failure prints the error and returns its exit code. */
enum cli_exit cli_call(struct cli *cli, const char *method, const char *path,
		       const char *body, struct http_reply *reply);
enum cli_exit cli_fail(enum cli_exit code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void cli_print_json(JsonObject *object);
char *cli_json_text(JsonObject *object, bool pretty);
/* A unique id for a change. */
char *cli_change_id(void);

/* args: the arguments that follow the command's words, NULL-terminated. */
enum cli_exit cli_status(struct cli *cli, char **args);
enum cli_exit cli_fleet(struct cli *cli, char **args);
enum cli_exit cli_move(struct cli *cli, char **args);
enum cli_exit cli_token_new(struct cli *cli, char **args);
enum cli_exit cli_key_new(struct cli *cli, char **args);
enum cli_exit cli_peer_key_new(struct cli *cli, char **args);
enum cli_exit cli_settings_check(struct cli *cli, char **args);
enum cli_exit cli_explain(struct cli *cli, char **args);
enum cli_exit cli_causes(struct cli *cli, char **args);
enum cli_exit cli_load(struct cli *cli, char **args);

/* kind: the kind of the item, such as "profile" or "database". */
enum cli_exit cli_item_list(struct cli *cli, const char *kind, char **args);
enum cli_exit cli_item_get(struct cli *cli, const char *kind, char **args);
enum cli_exit cli_item_set(struct cli *cli, const char *kind, char **args);
enum cli_exit cli_item_edit(struct cli *cli, const char *kind, char **args);
enum cli_exit cli_item_diff(struct cli *cli, const char *kind, char **args);
enum cli_exit cli_item_remove(struct cli *cli, const char *kind, char **args);

/* Reads an item; *value is NULL and *revision 0 if it does not exist. */
enum cli_exit cli_item_read(struct cli *cli, const char *key,
			    JsonObject **value, int64_t *revision);
/* Writes an item, or removes it if value is NULL; waits if wait_s is set. */
enum cli_exit cli_item_write(struct cli *cli, const char *key,
			     JsonObject *value, int64_t revision);
/* Polls until the revision is in force on all proxies, for up to wait_s. */
enum cli_exit cli_wait_in_force(struct cli *cli, int64_t revision);

enum cli_exit cli_upstream_add(struct cli *cli, char **args);
enum cli_exit cli_upstream_leave(struct cli *cli, char **args);
enum cli_exit cli_upstream_remove(struct cli *cli, char **args);

#endif
