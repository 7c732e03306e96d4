#include "log_lines.h"

#include <celeryquay/base/strict_json.h>

#include <string.h>

#define LINE_MAX_BYTES ((size_t)1024 * 1024) /* longer lines are skipped */
#define READ_BYTES ((size_t)65536) /* read from the file at once */

/* A log that is being read. */
struct reader {
	const char *name; /* of the file, for errors */
	uint64_t line; /* number of the line, from 1 */
	GString *text; /* of the current line, as far as it is read */
	bool too_long; /* the current line exceeds LINE_MAX_BYTES */
	log_line_fn handle;
	void *ctx;
	struct err *err;
};

static void report_broken(struct reader *r, const char *what)
{
	if (!r->err->code)
		err_set(r->err, ERR_BAD_LOG, "%s:%" G_GUINT64_FORMAT ": %s",
			r->name, r->line, what);
}

static bool handle_line(const struct reader *r)
{
	const char *begin = memchr(r->text->str, '{', r->text->len);

	/* A log collector may have put a prefix before the object. */
	if (!begin || r->text->str[r->text->len - 1] != '}')
		return false;
	return r->handle(r->ctx, begin,
			 r->text->len - (size_t)(begin - r->text->str));
}

static void finish_line(struct reader *r)
{
	r->line++;
	if (r->text->len && r->text->str[r->text->len - 1] == '\r')
		g_string_truncate(r->text, r->text->len - 1);
	if (r->too_long)
		report_broken(r,
			      "the line is longer than 1 MiB and is skipped");
	else if (r->text->len && !handle_line(r))
		report_broken(r, "not a JSON object");
	g_string_truncate(r->text, 0);
	r->too_long = false;
}

static void add_text(struct reader *r, const char *data, size_t len)
{
	if (r->text->len + len > LINE_MAX_BYTES)
		r->too_long = true;
	else
		g_string_append_len(r->text, data, (gssize)len);
}

/* Reads one log to its end; *err names the first broken line. */
void log_lines_read(const char *name, FILE *log, log_line_fn handle, void *ctx,
		    struct err *err)
{
	struct reader r = {
		.name = name, .handle = handle, .ctx = ctx, .err = err
	};
	char *buf = g_malloc(READ_BYTES);
	size_t n;

	r.text = g_string_new(NULL);
	while ((n = fread(buf, 1, READ_BYTES, log)) > 0) {
		const char *at = buf, *stop = buf + n, *end;

		while ((end = memchr(at, '\n', (size_t)(stop - at)))) {
			add_text(&r, at, (size_t)(end - at));
			finish_line(&r);
			at = end + 1;
		}
		add_text(&r, at, (size_t)(stop - at));
	}
	r.line++;
	if (r.text->len || r.too_long)
		report_broken(&r, "the file ends in the middle of the line");
	else if (ferror(log))
		report_broken(&r,
			      "read error; the rest of the file is skipped");
	g_string_free(r.text, TRUE);
	g_free(buf);
}

JsonObject *log_lines_parse(JsonParser *parser, const char *text, size_t len)
{
	JsonNode *root;

	if (!strict_json_load(parser, (struct str){ text, len }, NULL))
		return NULL;
	root = json_parser_get_root(parser);
	return root && JSON_NODE_HOLDS_OBJECT(root) ?
		       json_node_get_object(root) :
		       NULL;
}

const char *log_lines_text(JsonObject *line, const char *key)
{
	JsonNode *node = json_object_get_member(line, key);

	return node && JSON_NODE_HOLDS_VALUE(node) &&
			       json_node_get_value_type(node) == G_TYPE_STRING ?
		       json_node_get_string(node) :
		       "";
}

int64_t log_lines_number(JsonObject *line, const char *key)
{
	JsonNode *node = json_object_get_member(line, key);

	return node && JSON_NODE_HOLDS_VALUE(node) ? json_node_get_int(node) :
						     0;
}

bool log_lines_bool(JsonObject *line, const char *key)
{
	return json_object_get_boolean_member_with_default(line, key, FALSE);
}

enum log_refusal log_lines_refusal(JsonObject *line)
{
	const char *verdict = log_lines_text(line, "refused_for");

	if (!g_str_has_prefix(log_lines_text(line, "why"), "no server in time"))
		return LOG_REFUSAL_NONE;
	if (!strcmp(verdict, "no-server"))
		return LOG_REFUSAL_NO_SERVER;
	return strcmp(verdict, "overload") != 0 ? LOG_REFUSAL_NONE :
						  LOG_REFUSAL_OVERLOAD;
}
