/*
 * Client accounts: which account a caller's operations belong to, and whether
 * its key is still valid.
 */
#define LOG_MODULE "account"
#include "relay_internal.h"

#include <string.h>

/* The age of the configuration that says which keys are valid. */
uint64_t raccount_keys_age_us(const struct relay *r, uint64_t now_us)
{
	if (r->unreadable || !r->known_us)
		return NEVER_US;
	return now_us - MIN(r->known_us, now_us);
}

/*
 * Whether the configuration is too old to tell which keys are valid.
 *
 * Failure: a key is revoked while this proxy is partitioned from the store, is
 * suspended or gets outdated answers, and the key goes on working. Operations
 * run long after the operators have closed the account. Guard: the age counts
 * from when the request was sent whose answer was current, and the clock is
 * read after the operation has arrived. So an operation that runs was sent less
 * than key_max_age_us after a moment at which its key was valid.
 */
bool raccount_are_keys_stale(const struct relay *r, uint64_t now_us)
{
	const struct relay_settings *set = &r->settings;

	return set->accounts && r->guards.check_key_age &&
	       set->key_max_age_us &&
	       raccount_keys_age_us(r, now_us) > set->key_max_age_us;
}

static bool needs_key(const struct rsession *s)
{
	const struct relay_profile *profile =
		relay_catalog_profile(s->relay->catalog, s->database);

	return !profile || !profile->is_public;
}

/*
 * Sets the session's account; false: an open transaction belongs to another
 * account, which can't change.
 */
static bool set_account(struct rsession *s, const char *name)
{
	if (!strcmp(s->account, name))
		return true;
	if (s->state != 'I' || s->conn)
		return false;
	g_free(s->account);
	s->account = g_strdup(name);
	return true;
}

/* Checks a session of another proxy, which has checked the caller's key. */
static enum relay_code check_peer_session(const struct rsession *s,
					  const char **why)
{
	if (*s->account || !needs_key(s))
		return RELAY_OK;
	*why = "no account was named";
	return RELAY_MALFORMED;
}

/* Checks the session's key; `why` explains any code but RELAY_OK. */
enum relay_code raccount_check_key(struct rsession *s, uint64_t now_us,
				   const char **why)
{
	const struct relay *r = s->relay;
	const struct relay_account *a;

	if (!r->settings.accounts || !r->guards.check_keys)
		return RELAY_OK;
	if (s->peer)
		return check_peer_session(s, why);
	a = relay_catalog_account_of_key(r->catalog, s->key);
	if (needs_key(s) && raccount_are_keys_stale(r, now_us)) {
		*why = "it is not known which keys are good; come back in 1 s";
		return RELAY_BUSY;
	}
	if (needs_key(s) && !a) {
		*why = "the key is not known";
		return RELAY_UNAUTHORIZED;
	}
	if (!set_account(s, a ? a->name : "")) {
		*why = "the key is another account's now";
		return RELAY_UNAUTHORIZED;
	}
	return RELAY_OK;
}

/* The priority of the session's account; 0 is the highest. */
unsigned raccount_priority(const struct rsession *s)
{
	const struct relay_account *a =
		relay_catalog_account(s->relay->catalog, s->account);

	return a ? a->priority : 0;
}
