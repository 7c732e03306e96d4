#include <celeryquay/base/log_event.h>

#include <string.h>

/* Maximum size of a JSON string: six bytes per input byte, and two quotes. */
#define JSON_SIZE(len) (6 * (size_t)(len) + 2)

struct log_line {
	GString *text;
	enum log_class class;
	bool first; /* the next field is the first: no comma before it */
};

static uint64_t system_clock_us(void)
{
	return (uint64_t)g_get_monotonic_time();
}

static uint64_t (*clock_us)(void) = system_clock_us;
static char node_name[64];
static struct log_line line;

/* Sets the node name that every line carries. */
void log_event_set_node(const char *node)
{
	g_strlcpy(node_name, node, sizeof(node_name));
}

/* Replaces the clock, so that tests do not depend on real time. */
void log_event_set_clock(uint64_t (*now_us)(void))
{
	clock_us = now_us ? now_us : system_clock_us;
}

/*
 * Reserves n bytes after the text and returns where to write them; end_write()
 * sets the new length. Appending each piece through GString's own functions
 * would make up a third of the cost of a line.
 */
static char *begin_write(GString *out, size_t n)
{
	size_t len = out->len;

	if (len + n >= out->allocated_len) {
		g_string_set_size(out, len + n);
		g_string_truncate(out, len);
	}
	return out->str + len;
}

static void end_write(GString *out, char *end)
{
	*end = '\0';
	out->len = (gsize)(end - out->str);
}

static char *put_bytes(char *to, const char *s, size_t len)
{
	memcpy(to, s, len);
	return to + len;
}

static bool needs_no_escape(unsigned char c)
{
	return c >= 0x20 && c != '"' && c != '\\';
}

static char *put_escaped(char *to, unsigned char c)
{
	static const char digits[] = "0123456789abcdef";

	if (c < 0x20) {
		to = g_stpcpy(to, "\\u00");
		*to++ = digits[c >> 4];
		*to++ = digits[c & 0xf];
		return to;
	}
	*to++ = '\\';
	*to++ = (char)c;
	return to;
}

/* Writes s as a JSON string of at most JSON_SIZE(len) bytes. */
static char *put_json(char *to, const char *s, size_t len)
{
	size_t i, plain = 0;

	*to++ = '"';
	for (i = 0; i < len; i++) {
		if (needs_no_escape((unsigned char)s[i]))
			continue;
		to = put_bytes(to, s + plain, i - plain);
		to = put_escaped(to, (unsigned char)s[i]);
		plain = i + 1;
	}
	to = put_bytes(to, s + plain, len - plain);
	*to++ = '"';
	return to;
}

/* Appends s as a quoted and escaped JSON string. */
void log_append_json_string(GString *out, const char *s, size_t len)
{
	end_write(out, put_json(begin_write(out, JSON_SIZE(len)), s, len));
}

/* Formats a second in UTC; cached, since many lines share the same second. */
static const char *format_second(gint64 second)
{
	static gint64 last;
	static char text[32];
	GDateTime *t;
	char *formatted;

	if (second == last)
		return text;
	t = g_date_time_new_from_unix_utc(second);
	formatted = g_date_time_format(t, "%Y-%m-%dT%H:%M:%S");
	g_strlcpy(text, formatted, sizeof(text));
	g_free(formatted);
	g_date_time_unref(t);
	last = second;
	return text;
}

/*
 * Appends the common first fields: the UTC time to the millisecond, the
 * monotonic clock in milliseconds, which does not jump when the system time is
 * set, and the node.
 */
static void put_common_fields(GString *out)
{
	gint64 now = g_get_real_time();
	int ms = (int)(now % G_USEC_PER_SEC / 1000);
	char digits[] = { '.', (char)('0' + ms / 100),
			  (char)('0' + ms / 10 % 10), (char)('0' + ms % 10),
			  '\0' };

	g_string_append(out, "{\"time\":\"");
	g_string_append(out, format_second(now / G_USEC_PER_SEC));
	g_string_append(out, digits);
	g_string_append(out, "Z\",\"steady_ms\":");
	str_append_u64(out, clock_us() / 1000);
	g_string_append(out, ",\"node\":");
	log_append_json_string(out, node_name, strlen(node_name));
}

/* Writes comma and key; keys are plain identifiers and need no escape. */
static char *put_key(struct log_line *l, char *to, const char *key)
{
	if (!l->first)
		*to++ = ',';
	l->first = false;
	if (!key)
		return to;
	*to++ = '"';
	to = put_bytes(to, key, strlen(key));
	*to++ = '"';
	*to++ = ':';
	return to;
}

/* Bytes that a key takes up with its comma, quotes and colon. */
static size_t key_size(const char *key)
{
	return key ? strlen(key) + 4 : 1;
}

static void start_line(enum log_class class, const char *event)
{
	if (!line.text)
		line.text = g_string_sized_new(1024);
	g_string_truncate(line.text, 0);
	line.class = class;
	line.first = false;
	put_common_fields(line.text);
	log_cstr(&line, "event", event);
}

static void report_dropped(void)
{
	uint64_t dropped[LOG_CLASS_COUNT];

	if (!log_sink_take_drop_counts(dropped))
		return;
	start_line(LOG_STATE, "log-dropped");
	log_u64(&line, "routine", dropped[LOG_ROUTINE]);
	log_u64(&line, "failure", dropped[LOG_FAILURE]);
	log_u64(&line, "state", dropped[LOG_STATE]);
	log_event_end(&line);
}

static bool has_room(enum log_class class)
{
	bool has = log_sink_has_room(class, clock_us());

	report_dropped();
	return has;
}

/* Starts a line; returns NULL if the budget is used up. */
struct log_line *log_event(enum log_class class, const char *event)
{
	if (!has_room(class))
		return NULL;
	start_line(class, event);
	return &line;
}

/* Appends the common first fields; returns false if the budget is used up. */
bool log_event_begin_custom(enum log_class class, GString *out)
{
	if (!has_room(class))
		return false;
	put_common_fields(out);
	return true;
}

/* Closes the JSON object and passes the line to the log sink. */
void log_event_end(struct log_line *l)
{
	g_string_append_c(l->text, '}');
	log_sink_put(l->class, l->text->str, l->text->len);
}

/* Adds a string; control characters, quotes and backslashes are escaped. */
void log_str(struct log_line *l, const char *key, struct str value)
{
	char *to = begin_write(l->text, key_size(key) + JSON_SIZE(value.len));

	to = put_key(l, to, key);
	end_write(l->text, put_json(to, value.data, value.len));
}

/* Adds a C string; NULL is written as an empty string. */
void log_cstr(struct log_line *l, const char *key, const char *value)
{
	log_str(l, key, str_from_c(value ? value : ""));
}

/* Adds a number. */
void log_u64(struct log_line *l, const char *key, uint64_t value)
{
	char *to = begin_write(l->text, key_size(key) + STR_U64_SIZE);

	to = put_key(l, to, key);
	end_write(l->text, to + str_put_u64(to, value));
}

/* Adds a token that is not quoted in JSON. */
static void put_token(struct log_line *l, const char *key, const char *word)
{
	size_t len = strlen(word);
	char *to = begin_write(l->text, key_size(key) + len);

	to = put_key(l, to, key);
	end_write(l->text, put_bytes(to, word, len));
}

/* Adds true or false. */
void log_bool(struct log_line *l, const char *key, bool value)
{
	put_token(l, key, value ? "true" : "false");
}

static void begin_nested(struct log_line *l, const char *key, const char *mark)
{
	put_token(l, key, mark);
	l->first = true;
}

static void end_nested(struct log_line *l, char mark)
{
	g_string_append_c(l->text, mark);
	l->first = false;
}

/* Starts a list; its elements have no keys. */
void log_list_begin(struct log_line *l, const char *key)
{
	begin_nested(l, key, "[");
}

/* Ends the list. */
void log_list_end(struct log_line *l)
{
	end_nested(l, ']');
}

/* Starts an object. */
void log_object_begin(struct log_line *l, const char *key)
{
	begin_nested(l, key, "{");
}

/* Ends the object. */
void log_object_end(struct log_line *l)
{
	end_nested(l, '}');
}
