#include "server_util.h"

/* Appends a JSON string with its quotes. */
void util_json_string(GString *out, const char *text)
{
	const unsigned char *at;

	g_string_append_c(out, '"');
	for (at = (const unsigned char *)text; *at; at++) {
		if (*at == '"' || *at == '\\')
			g_string_append_printf(out, "\\%c", *at);
		else if (*at < 0x20)
			g_string_append_printf(out, "\\u%04x", *at);
		else
			g_string_append_c(out, (char)*at);
	}
	g_string_append_c(out, '"');
}

/* Microseconds of the monotonic clock. */
uint64_t util_now_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}
