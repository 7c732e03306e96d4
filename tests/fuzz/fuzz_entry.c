#include <config.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Parsing gives either a complete result or an error. */
static void check_server_info(struct relay_server_info *info,
			      const struct err *err)
{
	if (!info != (err->code != 0))
		abort();
	if (info && (!info->host || !info->port || !*info->zone))
		abort();
	relay_server_info_free(info);
}

/* Parses the input as a server's entry, a proxy's entry and a catalog. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str value = { .data = (const char *)data, .len = size };
	struct relay_catalog *catalog;
	struct err err = { 0 };

	check_server_info(config_server("key", "id", value, &err), &err);
	err = (struct err){ 0 };
	check_server_info(config_proxy("key", "name", value, &err), &err);
	err = (struct err){ 0 };
	catalog = config_catalog("key", value, &err);
	if (!catalog != (err.code != 0))
		abort();
	if (catalog)
		relay_catalog_unref(catalog);
	return 0;
}
