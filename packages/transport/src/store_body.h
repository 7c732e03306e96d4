#ifndef CELERYQUAY_TRANSPORT_STORE_BODY_H
#define CELERYQUAY_TRANSPORT_STORE_BODY_H

/* Builds and parses the JSON bodies of the calls to the store. */

#include <celeryquay/transport/kv_stamp.h>
#include <celeryquay/transport/store.h>
#include <json-glib/json-glib.h>

/*
 * Revisions that are passed in and out are stamps. What the store is sent are
 * its own revisions; `era` is that of the answer that is parsed.
 */

/* Parameters of one range call. */
struct store_page {
	const char *from; /* first key of the range */
	/* All keys with this prefix from `from` on; NULL: only the key `from`.
	 */
	const char *prefix;
	unsigned limit; /* maximum number of keys; 0: no limit */
	uint64_t revision; /* to read at; 0: the latest one */
};

GString *store_body_range(const struct store_page *page);
GString *store_body_cas(const char *key, uint64_t expected,
			const struct str *value);
GString *store_body_watch(const char *prefix, uint64_t from_revision);

JsonObject *store_body_parse(struct str text, JsonParser **parser);
JsonObject *store_body_object(JsonObject *o, const char *name);
bool store_body_bool(JsonObject *o, const char *name);
uint64_t store_body_u64(JsonObject *o, const char *name);
uint64_t store_body_revision(JsonObject *answer, uint64_t era);
void store_body_kvs(JsonObject *o, uint64_t era, GArray *out);
bool store_body_kv(JsonObject *o, uint64_t era, struct store_kv *out);
bool store_body_error(JsonObject *answer, struct err *err);

GArray *store_kvs_create(void);

#endif
