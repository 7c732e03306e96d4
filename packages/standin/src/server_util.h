#ifndef STANDIN_SERVER_UTIL_H
#define STANDIN_SERVER_UTIL_H

/*
 * Small things that several parts of the server need: log macros for a file
 * that defines LOG_MODULE, JSON strings, and the clock.
 */

#include <stdint.h>
#include <glib.h>

#define LOG_AT(level, ...)                                                     \
	g_log_structured(G_LOG_DOMAIN, level, "MODULE", LOG_MODULE, "MESSAGE", \
			 __VA_ARGS__)
#define LOG_ERR(...) LOG_AT(G_LOG_LEVEL_WARNING, __VA_ARGS__)
#define LOG_INFO(...) LOG_AT(G_LOG_LEVEL_MESSAGE, __VA_ARGS__)

void util_json_string(GString *out, const char *text);
uint64_t util_now_us(void);

#endif
