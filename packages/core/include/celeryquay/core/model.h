#ifndef CELERYQUAY_CORE_MODEL_H
#define CELERYQUAY_CORE_MODEL_H

/*
 * The operators' configuration as typed items. Items are immutable and
 * reference-counted: a request keeps those that it began with. item_parse()
 * validates a whole JSON value before any of it can be put in force.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <stdbool.h>
#include <stdint.h>

enum item_kind {
	ITEM_PROFILE,
	ITEM_DATABASE,
	ITEM_CALLER,
	ITEM_KEY,
	ITEM_LIMIT,
	ITEM_PRIMARY,
	ITEM_MEMBER,
	ITEM_KIND_COUNT,
};

enum access { ACCESS_READ, ACCESS_WRITE };

struct profile {
	char *name;
	enum access access;
	/* accepted staleness; 0: all writes acknowledged before are seen */
	uint64_t max_age_us;
	bool idempotent;
	uint64_t deadline_us; /* time allowed for a request */
	unsigned priority; /* 0 to 9, 9 is served first */
	unsigned share; /* percent of a server's slots and queue */
	uint64_t max_answer_bytes;
	uint64_t wait_for_replica_us;
};

struct server_conf {
	char *name;
	char *host;
	uint16_t port;
	char *data_centre;
	char *region;
	unsigned slots; /* requests run at the same time */
	unsigned connections; /* limit for all proxies together */
	bool leaving;
};

struct database_conf {
	char *service;
	char *name;
	char *user;
	char *dbname;
	/* connections per server kept free for a home that takes over */
	unsigned reserve;
	unsigned n_servers;
	struct server_conf *servers;
};

struct caller_conf {
	char *name;
	char **token_sha256; /* lower-case hex, NULL-terminated */
	char **services; /* "*" allows all */
	char **profiles; /* "*" allows all */
	unsigned share; /* percent, weight in a server's queue */
	bool operator_rights;
};

struct key_conf {
	char *id;
	uint8_t secret[32];
	bool signing; /* else only verifies */
};

struct limit_conf {
	char *name;
	int64_t value;
};

struct primary_conf {
	uint64_t term;
	char *server;
	char *holder;
};

struct member_conf {
	char *name;
	char *host;
	uint16_t peer_port;
	bool leaving;
};

struct item {
	int refs;
	enum item_kind kind;
	char *key; /* without MODEL_PREFIX, e.g. "profile/write" */
	uint64_t revision; /* the store's mod revision */
	bool removed; /* tombstone without a value */
	char *change; /* identifier of the change that wrote it */
	char *json; /* the value as stored, for peers and operators */
	union {
		struct profile profile;
		struct database_conf database;
		struct caller_conf caller;
		struct key_conf signing_key;
		struct limit_conf limit;
		struct primary_conf primary;
		struct member_conf member;
	} u;
};

/* Prefix of the configuration's keys in the store. */
#define MODEL_PREFIX "/celeryquay/v1/"

struct item *item_parse(const char *key, uint64_t revision, struct str json,
			struct err *err);
struct item *item_tombstone(const char *key, uint64_t revision);
struct item *item_ref(struct item *item);
void item_unref(struct item *item);
const char *item_kind_name(enum item_kind kind);

/* The items and tombstones in force, by key. */
struct model;

struct model *model_create(void);
void model_destroy(struct model *model);
/* Puts an item in force if its revision is higher; takes a reference. */
bool model_put(struct model *model, struct item *item);
struct item *model_get(struct model *model, const char *key);
const struct profile *model_profile(struct model *model, struct str name);
const struct database_conf *model_database(struct model *model,
					   struct str service, struct str name);
/* The caller with this token, compared by its hash in constant time. */
const struct caller_conf *model_caller_by_token(struct model *model,
						struct str token);
/* The signing key of the highest revision, or NULL. */
const struct key_conf *model_signing_key(struct model *model);
int64_t model_limit(struct model *model, const char *name, int64_t fallback);
typedef void (*model_visit_fn)(struct item *item, void *ctx);
void model_each(struct model *model, model_visit_fn visit, void *ctx);
uint64_t model_revision(struct model *model);

#endif
