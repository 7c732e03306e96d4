/*
 * The store's messages as etcd's JSON gateway writes them: bytes in base64,
 * 64-bit numbers as strings, members with their default value left out.
 */
#ifndef STANDIN_STORE_JSON_H
#define STANDIN_STORE_JSON_H

#include <json-glib/json-glib.h>

#include "store_table.h"

/* The gRPC codes that the API's errors carry. */
enum store_code {
	STORE_OK = 0,
	STORE_INVALID_ARGUMENT = 3,
	STORE_NOT_FOUND = 5,
	STORE_FAILED_PRECONDITION = 9,
	STORE_OUT_OF_RANGE = 11,
	STORE_UNIMPLEMENTED = 12,
	STORE_UNAVAILABLE = 14,
};

/* Filled by what refuses a call; `code` is STORE_OK until then. */
struct store_error {
	enum store_code code;
	char text[160];
};

void store_fail(struct store_error *error, enum store_code code,
		const char *format, ...) __attribute__((format(printf, 3, 4)));
JsonNode *store_error_json(const struct store_error *error);
unsigned store_error_status(enum store_code code);

bool store_only_members(JsonObject *object, const char *const *names,
			struct store_error *error);
GBytes *store_get_bytes(JsonObject *object, const char *name,
			struct store_error *error);
JsonObject *store_get_object(JsonObject *object, const char *name);

void store_set_int(JsonObject *object, const char *name, int64_t value);
void store_set_header(JsonObject *object, int64_t revision);
JsonObject *store_entry_json(const struct store_entry *entry, bool keys_only);
JsonNode *store_object_node(JsonObject *object);

#endif
