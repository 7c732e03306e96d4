#include <celeryquay/base/strict_json.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What passes the check must be read by JSON-GLib without an error. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = { (const char *)data, size };
	JsonNode *root = strict_json_parse(text, NULL);

	if (root)
		json_node_unref(root);
	else if (strict_json_check(text, STRICT_JSON_DEPTH_MAX, NULL, NULL))
		abort();
	return 0;
}
