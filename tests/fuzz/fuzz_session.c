#include <celeryquay/core/session.h>

#include <stdlib.h>
#include <string.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define KEY_ITEM                                              \
	"{\"change\":\"c\",\"state\":\"signing\",\"secret\":" \
	"\"AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=\"}"

static struct model *make_keys(void)
{
	struct model *keys = model_create();
	struct err err = { 0 };
	struct item *item = item_parse("key/a", 1, STR(KEY_ITEM), &err);

	if (!item)
		abort();
	model_put(keys, item);
	item_unref(item);
	return keys;
}

/*
 * Decodes the input as a session token. A token that this key has not signed
 * must be rejected with ERR_BAD_SESSION; an accepted one must keep the limit of
 * databases.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct model *keys;
	struct str text = { .data = (const char *)data, .len = size };
	struct session session;
	struct err err = { 0 };

	if (!keys)
		keys = make_keys();
	if (session_decode(keys, text, &session, &err)) {
		if (session.count > SESSION_MAX_DATABASES)
			abort();
	} else if (err.code != ERR_BAD_SESSION) {
		abort();
	}
	return 0;
}
