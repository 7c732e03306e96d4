#ifndef CELERYQUAY_TESTS_SUPPORT_STORE_H
#define CELERYQUAY_TESTS_SUPPORT_STORE_H

/* A stand-in store process, its client on a loop, and the calls' results. */

#include "support_loop.h"
#include "support_process.h"

#include <celeryquay/core/types.h>
#include <celeryquay/transport/store.h>

#define TIMEOUT_US (60 * USEC_PER_SEC)
/* For calls that are meant to time out; short, since the test waits for it. */
#define SHORT_TIMEOUT_US (200 * USEC_PER_MSEC)
#define KEY "/celeryquay/v1/profile/write"
#define PREFIX "/celeryquay/v1/"

/* The results of the last call. */
struct store_got {
	bool done; /* its callback was called */
	struct err err;
	bool took_effect;
	uint64_t revision;
	unsigned n; /* number of keys returned */
	GPtrArray *keys; /* char * */
	char *value; /* of the last key; NULL: no key was returned */
	uint64_t mod_revision; /* of the last key */
};

struct store_rig {
	struct child *server;
	struct store *store;
	uv_loop_t loop;
	struct store_got got;
};

extern struct store_rig store_rig;

void store_rig_setup(void);
void store_rig_teardown(void);
/* load: a file of keys that the store starts with, or NULL. */
void store_rig_start_server(const char *load);
/* Replaces the client; `first`, unless NULL, is a URL before the server's. */
void store_rig_open(const char *first, uint64_t timeout_us);
void store_rig_reset(void);
void store_rig_control(const char *path, const char *body);

/* Callbacks that store the results in `got`, and calls that wait for them. */
void rig_on_range(void *user, const struct err *err, uint64_t revision,
		  const struct store_kv *kvs, unsigned n);
void rig_on_cas(void *user, const struct err *err, bool took_effect,
		uint64_t revision, const struct store_kv *current);
void rig_get(const char *key);
void rig_range(const char *prefix);
void rig_cas(const char *key, uint64_t expected, const char *value);
/* Makes a write that must succeed; returns the store's revision after it. */
uint64_t rig_put(const char *key, uint64_t expected, const char *value);

#endif
