#ifndef CELERYQUAY_RELAY_CATALOG_H
#define CELERYQUAY_RELAY_CATALOG_H

/*
 * One version of the operators' configuration: the profiles of databases, by
 * the name that callers give, the services that serve them, and the client
 * accounts. Reference-counted, and immutable once it is built.
 */

#include <celeryquay/core/types.h>

enum relay_kind {
	RELAY_KIND_PRIMARY, /* every read sees every acknowledged write */
	RELAY_KIND_BOUNDED, /* a read's data may be max_age_us old */
	RELAY_KIND_OWN_WRITES, /* the same, but it sees its session's writes */
	RELAY_KINDS,
};

struct relay_profile {
	char *database;
	char *service;
	enum relay_kind kind;
	uint64_t timeout_us; /* of a statement */
	uint64_t target_latency_us; /* latency target of a whole operation */
	uint64_t max_age_us; /* staleness bound of reads; see `kind` */
	unsigned priority; /* 0 is the highest */
	bool is_public; /* callers need no key */
};

/* A client account: the rate limit and priority of its operations. */
struct relay_account {
	char *name;
	double rate_per_s; /* operations per second at all proxies together */
	double burst; /* operations that may come at once above the rate */
	unsigned priority; /* 0 is the highest */
};

struct relay_service_conf {
	char *name;
	/* To each server, from all proxies together; 0: no limit. */
	unsigned max_connections;
	/* Replicas that receive a commit before it is acknowledged. */
	unsigned sync_replicas;
};

struct relay_catalog;

struct relay_catalog *relay_catalog_create(uint64_t version,
					   uint64_t idle_transaction_us);
struct relay_catalog *relay_catalog_ref(struct relay_catalog *c);
void relay_catalog_unref(struct relay_catalog *c);
/* Both copy their argument. A later profile of a database replaces it. */
void relay_catalog_add_profile(struct relay_catalog *c,
			       const struct relay_profile *profile);
void relay_catalog_add_service(struct relay_catalog *c,
			       const struct relay_service_conf *service);

/* Copies its argument; false: the name exists already, nothing is added. */
bool relay_catalog_add_account(struct relay_catalog *c,
			       const struct relay_account *account);
/*
 * Adds a key of an account that was added before. False: the key is empty, or
 * the account is unknown, or another account has the same key, which is then
 * accepted for neither.
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
