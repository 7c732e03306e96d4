#include <line.h>

#include <stdlib.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* An accepted statement must be the same after writing and parsing it again. */
static void check_statement(struct str line,
			    bool (*parse)(struct str line,
					  struct relay_statement *out))
{
	struct relay_statement statement, again;
	GString *out;
	bool ok;

	if (!parse(line, &statement))
		return;
	out = g_string_new(NULL);
	line_put_statement(out, &statement);
	g_string_truncate(out, out->len - 2);
	ok = line_parse_peer_query(str_from_gstring(out), &again);
	if (!ok || again.verb != statement.verb ||
	    !str_eq(again.id, statement.id) ||
	    !str_eq(again.name, statement.name) ||
	    !str_eq(again.text, statement.text))
		abort();
	g_string_free(out, TRUE);
}

/* An answer's rows must not be longer than the input. */
static void check_answers(struct str bytes)
{
	void *reader = line_answer_reader_create();
	struct str rest = bytes;
	struct relay_answer answer;

	while (rest.len) {
		size_t before = rest.len;
		enum session_read_result fed =
			line_answer_reader_feed(reader, &rest, &answer);

		if (fed == SESSION_ANSWER && answer.rows.len > bytes.len)
			abort();
		if (fed == SESSION_MALFORMED || rest.len == before)
			break;
	}
	line_answer_reader_destroy(reader);
}

/* Parses the input as sent by a caller, by another proxy and by a server. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str bytes = { .data = (const char *)data, .len = size };
	size_t len = line_find_end(bytes, 0);

	if (len) {
		struct str line = { bytes.data, len - 2 };

		check_statement(line, line_parse_query);
		check_statement(line, line_parse_peer_query);
	}
	check_answers(bytes);
	return 0;
}
