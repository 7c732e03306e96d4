#ifndef CELERYQUAY_BASE_LOG_H
#define CELERYQUAY_BASE_LOG_H

/*
 * JSON-lines logging on top of GLib's structured logging. A source file defines
 * LOG_MODULE before it includes this header. Each decision, such as a routing
 * choice, is one line with named fields; see log_decision().
 */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifndef LOG_MODULE
#define LOG_MODULE "celeryquay"
#endif

enum log_level { LOG_LEVEL_ERR, LOG_LEVEL_WARN, LOG_LEVEL_INFO, LOG_LEVEL_DBG };

#define LOG_ERR(...) log_msg(LOG_LEVEL_ERR, LOG_MODULE, __VA_ARGS__)
#define LOG_WARN(...) log_msg(LOG_LEVEL_WARN, LOG_MODULE, __VA_ARGS__)
#define LOG_INFO(...) log_msg(LOG_LEVEL_INFO, LOG_MODULE, __VA_ARGS__)
#define LOG_DBG(...)                                                     \
	do {                                                             \
		if (log_enabled(LOG_LEVEL_DBG))                          \
			log_msg(LOG_LEVEL_DBG, LOG_MODULE, __VA_ARGS__); \
	} while (0)

void log_init(const char *node, enum log_level level, bool decisions);
bool log_enabled(enum log_level level);
bool log_decisions_enabled(void);
bool log_level_parse(const char *name, enum log_level *out);
void log_msg(enum log_level level, const char *module, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/*
 * Writes one decision as one line: its kind ("route", "home", "admit",
 * "failover", ...), then pairs of key and string value, terminated by NULL.
 * Values are written as they are, not as printf formats, as in
 * log_decision("route", "database", db, "server", name, "why", why, NULL).
 */
void log_decision(const char *kind, ...) G_GNUC_NULL_TERMINATED;
/* Writes buffered lines without blocking; called when the daemon stops. */
void log_flush(void);

#endif
