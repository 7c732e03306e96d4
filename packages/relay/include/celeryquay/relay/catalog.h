#ifndef CELERYQUAY_RELAY_CATALOG_H
#define CELERYQUAY_RELAY_CATALOG_H

/*
 * One version of the operators' configuration: profiles by the database name
 * that callers give, and the services that stand behind them. Built once,
 * read only afterwards, reference-counted.
 */

#include <celeryquay/core/types.h>

enum relay_kind {
	RELAY_KIND_PRIMARY, /* every read sees every acknowledged write */
	RELAY_KIND_BOUNDED, /* a read may be max_age_us old */
	RELAY_KIND_OWN_WRITES, /* the same, but sees its session's writes */
	RELAY_KINDS,
};

struct relay_profile {
	char *database;
	char *service;
	enum relay_kind kind;
	uint64_t timeout_us; /* of a statement */
	uint64_t aim_us; /* of a whole operation */
	uint64_t max_age_us;
	unsigned priority; /* 0 is the highest */
	bool is_public; /* callers need no key */
};

/* A client account: what its operations may be. */
struct relay_account {
	char *name;
	double rate_per_s; /* operations, at all proxies together */
	double burst; /* of these at once */
	unsigned priority; /* 0 is the highest */
};

struct relay_service_conf {
	char *name;
	unsigned max_connections; /* at each server, of all proxies */
	unsigned sync_replicas;
};

struct relay_catalog;

struct relay_catalog *relay_catalog_create(uint64_t version,
					   uint64_t idle_transaction_us);
struct relay_catalog *relay_catalog_ref(struct relay_catalog *c);
void relay_catalog_unref(struct relay_catalog *c);
/* Both copy what they are given. A later profile of a database wins. */
void relay_catalog_add_profile(struct relay_catalog *c,
			       const struct relay_profile *profile);
void relay_catalog_add_service(struct relay_catalog *c,
			       const struct relay_service_conf *service);

/* Copies it; false: the name is there already, and nothing is added. */
bool relay_catalog_add_account(struct relay_catalog *c,
			       const struct relay_account *account);
/*
 * A key of an account that was added. False: it is empty, or it is another
 * account's, too, and from now on nobody's.
 */
bool relay_catalog_add_key(struct relay_catalog *c, const char *key,
			   const char *account);

uint64_t relay_catalog_version(const struct relay_catalog *c);
uint64_t relay_catalog_idle_transaction_us(const struct relay_catalog *c);
/* NULL when the database or service isn't known. */
const struct relay_profile *relay_catalog_profile(const struct relay_catalog *c,
						  const char *database);
const struct relay_service_conf *relay_catalog_service(
	const struct relay_catalog *c, const char *name);
/* NULL when the key or account isn't known. */
const struct relay_account *relay_catalog_account_of_key(
	const struct relay_catalog *c, const char *key);
const struct relay_account *relay_catalog_account(const struct relay_catalog *c,
						  const char *name);
unsigned relay_catalog_accounts(const struct relay_catalog *c);
unsigned relay_catalog_services(const struct relay_catalog *c);
const struct relay_service_conf *relay_catalog_service_at(
	const struct relay_catalog *c, unsigned index);

#endif
