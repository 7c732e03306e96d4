#include "cli.h"

#include <node_settings.h>

#include <stdio.h>
#include <string.h>
#include <sys/random.h>
#include <zmq.h>

#define SECRET_BYTES 32 /* random bytes of a token or a signing key */
/* Size of the Z85 text of a CURVE key, with its NUL. */
#define CURVE_KEY_TEXT_BYTES 41

static bool make_secret(guchar secret[SECRET_BYTES])
{
	return getrandom(secret, SECRET_BYTES, 0) == SECRET_BYTES;
}

/* token new: prints a caller's token and its hash for the configuration. */
enum cli_exit cli_token_new(struct cli *cli, char **args)
{
	guchar secret[SECRET_BYTES];
	char *token, *hash;

	(void)cli;
	(void)args;
	if (!make_secret(secret))
		return cli_fail(
			CLI_FAILED,
			"the system gave no random bytes for the secret");
	token = g_base64_encode(secret, sizeof(secret));
	g_strdelimit(token, "+/=", '-');
	hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256, token, -1);
	printf("token:        %s\ntoken_sha256: %s\n", token, hash);
	g_free(hash);
	g_free(token);
	return CLI_OK;
}

/*
 * key new ID: creates a key for session tokens; its secret is not printed. The
 * key is not used for signing yet: a proxy that has not received it would
 * refuse the tokens signed by a proxy that has.
 */
enum cli_exit cli_key_new(struct cli *cli, char **args)
{
	char *key = g_strdup_printf("key/%s", args[0]);
	guchar secret[SECRET_BYTES];
	JsonObject *value = json_object_new();
	enum cli_exit code;
	char *text;

	if (!make_secret(secret)) {
		code = cli_fail(
			CLI_FAILED,
			"the system gave no random bytes for the secret");
		goto out;
	}
	text = g_base64_encode(secret, sizeof(secret));
	json_object_set_string_member(value, "secret", text);
	json_object_set_string_member(value, "state", "accepting");
	g_free(text);
	code = cli_item_write(cli, key, value, 0);
	if (!code && !cli->dry_run)
		printf("once the key is in force on all proxies, run: "
		       "celeryquay key edit %s state=signing\n",
		       args[0]);
out:
	json_object_unref(value);
	g_free(key);
	return code;
}

/* peer-key new: prints a CURVE key pair for a proxy's settings, see keys.md. */
enum cli_exit cli_peer_key_new(struct cli *cli, char **args)
{
	char public[CURVE_KEY_TEXT_BYTES], secret[CURVE_KEY_TEXT_BYTES];

	(void)cli;
	(void)args;
	if (zmq_curve_keypair(public, secret))
		return cli_fail(CLI_FAILED, "cannot make a CURVE key pair: %s",
				zmq_strerror(zmq_errno()));
	printf("\"curve_secret\": \"%s\",\n\"curve_public\": \"%s\"\n", secret,
	       public);
	return CLI_OK;
}

/* settings check FILE: checks as celeryquayd --check, without the daemon. */
enum cli_exit cli_settings_check(struct cli *cli, char **args)
{
	struct err err = { 0 };
	struct node_settings *s = node_settings_load(args[0], &err);

	(void)cli;
	if (!s)
		return cli_fail(CLI_FAILED, "%s (%d)", err.message, err.code);
	printf("%s: valid settings for %s\n", args[0], s->name);
	node_settings_destroy(s);
	return CLI_OK;
}
