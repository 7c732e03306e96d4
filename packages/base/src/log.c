#define LOG_MODULE "log"
#include <celeryquay/base/log.h>
#include <celeryquay/base/log_event.h>

#include <stdarg.h>
#include <string.h>

static struct {
	enum log_level level;
	bool decisions;
	bool ready;
	GString *line;
} state = { .level = LOG_LEVEL_INFO };

static const char *const level_names[] = { "err", "warn", "info", "dbg" };

static GString *empty_line(void)
{
	if (!state.line)
		state.line = g_string_sized_new(512);
	g_string_truncate(state.line, 0);
	return state.line;
}

/* Closes the JSON object and passes the line to the log sink. */
static void write_line(enum log_class class, GString *line)
{
	g_string_append_c(line, '}');
	log_sink_put(class, line->str, line->len);
}

static void append_pair(GString *out, const char *key, const char *value)
{
	g_string_append_c(out, ',');
	log_append_json_string(out, key, strlen(key));
	g_string_append_c(out, ':');
	log_append_json_string(out, value, strlen(value));
}

static const GLogField *find_field(const GLogField *fields, gsize n,
				   const char *key)
{
	gsize i;

	for (i = 0; i < n; i++) {
		if (!strcmp(fields[i].key, key))
			return &fields[i];
	}
	return NULL;
}

static void append_field(GString *out, const char *name, const GLogField *f)
{
	size_t len;

	if (!f)
		return;
	len = f->length < 0 ? strlen(f->value) : (size_t)f->length;
	g_string_append_printf(out, ",\"%s\":", name);
	log_append_json_string(out, f->value, len);
}

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return level_names[LOG_LEVEL_ERR];
	if (level & G_LOG_LEVEL_WARNING)
		return level_names[LOG_LEVEL_WARN];
	if (level & G_LOG_LEVEL_DEBUG)
		return level_names[LOG_LEVEL_DBG];
	return level_names[LOG_LEVEL_INFO];
}

/* GLib log writer: writes each message as one line with a JSON object. */
static GLogWriterOutput write_json(GLogLevelFlags level,
				   const GLogField *fields, gsize n,
				   gpointer data)
{
	const GLogField *module = find_field(fields, n, "CELERYQUAY_MODULE");
	GString *line = empty_line();

	(void)data;
	if (!log_event_begin_custom(LOG_STATE, line))
		return G_LOG_WRITER_HANDLED;
	append_pair(line, "level", level_name(level));
	if (!module)
		module = find_field(fields, n, "GLIB_DOMAIN");
	append_field(line, "module", module);
	append_field(line, "message", find_field(fields, n, "MESSAGE"));
	write_line(LOG_STATE, line);
	return G_LOG_WRITER_HANDLED;
}

/*
 * Sets the node's name, the least severe level that is written and whether
 * decisions are written. May be called again; GLib's writer is installed only
 * the first time.
 */
void log_init(const char *node, enum log_level level, bool decisions)
{
	log_event_set_node(node);
	state.level = level;
	state.decisions = decisions;
	if (!state.ready)
		g_log_set_writer_func(write_json, NULL, NULL);
	state.ready = true;
}

/* Writes as many buffered lines as the reader accepts without blocking. */
void log_flush(void)
{
	log_sink_flush();
}

/* Whether messages of this level are written. */
bool log_enabled(enum log_level level)
{
	return level <= state.level;
}

/* Whether decisions are written, so that callers can skip the formatting. */
bool log_decisions_enabled(void)
{
	return state.decisions;
}

/* Reads "err", "warn", "info" or "dbg"; false for anything else. */
bool log_level_parse(const char *name, enum log_level *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(name, level_names[i])) {
			*out = (enum log_level)i;
			return true;
		}
	}
	return false;
}

/* Writes one message through GLib's structured logging. */
void log_msg(enum log_level level, const char *module, const char *fmt, ...)
{
	static const GLogLevelFlags flags[] = { G_LOG_LEVEL_CRITICAL,
						G_LOG_LEVEL_WARNING,
						G_LOG_LEVEL_MESSAGE,
						G_LOG_LEVEL_DEBUG };
	GLogField fields[2];
	va_list args;
	char *text;

	if (!log_enabled(level))
		return;
	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	fields[0] = (GLogField){ "MESSAGE", text, -1 };
	fields[1] = (GLogField){ "CELERYQUAY_MODULE", module, -1 };
	g_log_structured_array(flags[level], fields, G_N_ELEMENTS(fields));
	g_free(text);
}

/*
 * Writes one decision: its kind, then pairs of key and value up to NULL. It
 * bypasses GLib's structured logging, whose field lookup would be paid once for
 * each statement.
 */
void log_decision(const char *kind, ...)
{
	GString *line = empty_line();
	const char *key;
	va_list args;

	if (!state.decisions || !log_event_begin_custom(LOG_ROUTINE, line))
		return;
	append_pair(line, "level", "info");
	append_pair(line, "decision", kind);
	va_start(args, kind);
	while ((key = va_arg(args, const char *))) {
		const char *value = va_arg(args, const char *);

		append_pair(line, key, value ? value : "");
	}
	va_end(args);
	write_line(LOG_ROUTINE, line);
}
