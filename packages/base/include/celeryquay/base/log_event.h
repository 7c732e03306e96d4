#ifndef CELERYQUAY_BASE_LOG_EVENT_H
#define CELERYQUAY_BASE_LOG_EVENT_H

/*
 * One log line with typed fields. log_event() starts it, the other functions
 * add fields, and log_event_end() passes it to the log sink:
 *
 *	struct log_line *l = log_event(LOG_STATE, "server-lost");
 *
 *	if (!l)
 *		return;
 *	log_cstr(l, "server", id);
 *	log_u64(l, "silent_ms", ms);
 *	log_event_end(l);
 *
 * Only one line can be under construction at a time in the process.
 */

#include <celeryquay/base/log_sink.h>
#include <celeryquay/base/str.h>

struct log_line;

/* Returns NULL if the budget is used up; the line is counted as dropped. */
struct log_line *log_event(enum log_class class, const char *event);
void log_event_end(struct log_line *l);

/* In all of these a NULL key adds an element to a list. */
void log_str(struct log_line *l, const char *key, struct str value);
void log_cstr(struct log_line *l, const char *key, const char *value);
void log_u64(struct log_line *l, const char *key, uint64_t value);
void log_bool(struct log_line *l, const char *key, bool value);
void log_list_begin(struct log_line *l, const char *key);
void log_list_end(struct log_line *l);
void log_object_begin(struct log_line *l, const char *key);
void log_object_end(struct log_line *l);

/* Sets the node name that every line carries; see log_init(). */
void log_event_set_node(const char *node);
/* For tests: replaces the monotonic clock; NULL restores the system's. */
void log_event_set_clock(uint64_t (*now_us)(void));
/*
 * Appends the common first fields of a line, for callers that write the rest
 * themselves. Returns false if the budget is used up, as log_event() does.
 */
bool log_event_begin_custom(enum log_class class, GString *out);
/* Appends s as a quoted and escaped JSON string. */
void log_append_json_string(GString *out, const char *s, size_t len);

#endif
