#include "access.h"

#include <openssl/crypto.h>
#include <string.h>

#define SHA256_HEX_LENGTH 64

static bool list_allows(char **list, struct str name)
{
	for (; *list; list++) {
		if (!strcmp(*list, "*") || str_eq(str_from_c(*list), name))
			return true;
	}
	return false;
}

/*
 * Returns the caller that a bearer token belongs to, if it may use the
 * request's service. Otherwise NULL, with err NO_TOKEN, BAD_TOKEN or FORBIDDEN;
 * error messages never contain the token.
 */
const struct caller_conf *access_caller(struct node *node,
					const struct request *r,
					struct str token, struct err *err)
{
	const struct caller_conf *caller;

	if (!token.len) {
		err_set(err, ERR_NO_TOKEN,
			"an Authorization header with a bearer token is "
			"required");
		return NULL;
	}
	caller = model_caller_by_token(node->model, token);
	if (!caller) {
		err_set(err, ERR_BAD_TOKEN,
			"the token belongs to no configured caller");
		return NULL;
	}
	if (!list_allows(caller->services, r->service)) {
		err_set(err, ERR_FORBIDDEN,
			"caller %s may not use service %.*s", caller->name,
			(int)r->service.len, r->service.data);
		return NULL;
	}
	return caller;
}

/* Sets *out to the database's item; the calling function owns the reference. */
bool access_database(struct node *node, const struct request *r,
		     const struct caller_conf *caller, struct item **out,
		     struct err *err)
{
	char *name = str_join(r->service, '/', r->database);
	char *key = str_join(STR("database"), '/', str_from_c(name));
	struct item *item = model_get(node->model, key);

	(void)caller;
	if (item && !item->removed)
		*out = item_ref(item);
	else
		err_set(err, ERR_NO_SUCH_DATABASE,
			"database %s is not configured", name);
	g_free(key);
	g_free(name);
	return *out != NULL;
}

/*
 * Sets *out to the profile's item; the calling function owns the reference.
 * Requests within a transaction need not name a profile, as it was chosen when
 * the transaction began: *out then stays as it is.
 */
bool access_profile(struct node *node, const struct request *r,
		    const struct caller_conf *caller, struct item **out,
		    struct err *err)
{
	struct item *item;
	char *key;

	if (!r->profile.len && r->kind != REQUEST_RUN &&
	    r->kind != REQUEST_BEGIN)
		return true;
	if (!list_allows(caller->profiles, r->profile)) {
		err_set(err, ERR_FORBIDDEN,
			"caller %s may not use profile %.*s", caller->name,
			(int)r->profile.len, r->profile.data);
		return false;
	}
	key = str_join(STR("profile"), '/', r->profile);
	item = model_get(node->model, key);
	if (item && !item->removed)
		*out = item_ref(item);
	else
		err_set(err, ERR_NO_SUCH_PROFILE,
			"profile %.*s is not configured", (int)r->profile.len,
			r->profile.data);
	g_free(key);
	return *out != NULL;
}

/*
 * Whether the token's SHA-256 is among the operator hashes in the settings;
 * hashes are compared in constant time.
 */
static bool is_settings_operator(const struct node *node, struct str token)
{
	char *hex = g_compute_checksum_for_data(
		G_CHECKSUM_SHA256, (const guchar *)token.data, token.len);
	char **list = node->settings->operator_tokens_sha256;
	bool found = false;

	for (; *list; list++) {
		if (strlen(*list) == SHA256_HEX_LENGTH &&
		    !CRYPTO_memcmp(*list, hex, SHA256_HEX_LENGTH))
			found = true;
	}
	g_free(hex);
	return found;
}

/*
 * Returns the operator that a token belongs to: "operator" for a token listed
 * in the settings, which works before any configuration is loaded, or the name
 * of a caller with operator rights.
 */
const char *access_operator(struct node *node, struct str token,
			    struct err *err)
{
	const struct caller_conf *caller;

	if (!token.len) {
		err_set(err, ERR_NO_TOKEN,
			"an Authorization header with a bearer token is "
			"required");
		return NULL;
	}
	if (is_settings_operator(node, token))
		return "operator";
	caller = model_caller_by_token(node->model, token);
	if (!caller)
		err_set(err, ERR_BAD_TOKEN,
			"the token belongs to no operator or configured "
			"caller");
	else if (!caller->operator_rights)
		err_set(err, ERR_FORBIDDEN, "caller %s has no operator rights",
			caller->name);
	else
		return caller->name;
	return NULL;
}
