#include "front_private.h"

#include <celeryquay/transport/wire.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* A request accepted from a caller must also be valid between proxies. */
static void check_accepted_request(struct request *r)
{
	struct err err = { 0 };
	struct request *copy;
	GBytes *bytes;

	r->service = STR("s");
	r->database = STR("d");
	front_set_digest(r);
	bytes = wire_pack_request(r);
	copy = wire_unpack_request(str_from_bytes(bytes), &err);
	/*
	 * Between proxies a profile's name has at most 256 bytes. A proxy looks
	 * the profile up before it sends the request.
	 */
	if (!copy && r->profile.len <= 256)
		abort();
	request_unref(copy);
	g_bytes_unref(bytes);
}

/*
 * A body that front_parse_plain() accepts must be accepted by the parser that
 * uses the JSON library too, with the same digest.
 */
static void check_plain_body(struct str body)
{
	struct request *plain =
		front_parse_plain(REQUEST_RUN, true, true, body);
	struct err err = { 0 };
	struct request *full;

	if (!plain)
		return;
	full = front_parse_json(REQUEST_RUN, body, &err);
	if (!full)
		abort();
	front_set_digest(plain);
	front_set_digest(full);
	if (!str_eq(plain->digest, full->digest))
		abort();
	request_unref(plain);
	request_unref(full);
}

/* The first byte selects the kind of request, the rest is its body. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct err err = { 0 };
	struct front_path path;
	struct request *r;
	struct str body;

	if (!size)
		return 0;
	body = (struct str){ .data = (const char *)data + 1, .len = size - 1 };
	check_plain_body(body);
	front_path_parse(STR("POST"), body, &path, &err);
	r = front_parse((enum request_kind)(data[0] % REQUEST_SETTLE), body,
			&err);
	if (r)
		check_accepted_request(r);
	else if (!err.code)
		abort();
	request_unref(r);
	return 0;
}
