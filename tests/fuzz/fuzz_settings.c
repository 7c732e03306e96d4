#include <celeryquay/base/settings.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Parses the input as a settings file and reads one key of each type. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct err err = { 0 };
	struct settings *s =
		settings_from_data("fuzz", (const char *)data, size, &err);
	char *text = NULL;
	char **list = NULL;
	int64_t number;
	bool flag;

	if (!s)
		return err.code ? 0 : (abort(), 0);
	if (settings_str(s, "a", "", &text, &err))
		g_free(text);
	settings_int(s, "b", 0, 100, 1, &number, &err);
	settings_bool(s, "c", false, &flag, &err);
	if (settings_str_list(s, "d", &list, &err))
		g_strfreev(list);
	settings_list_length(s, "e");
	settings_reject_unknown(s, &err);
	settings_destroy(s);
	return 0;
}
