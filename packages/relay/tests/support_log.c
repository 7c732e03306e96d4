#include "support_log.h"

#include <stdlib.h>
#include <string.h>

/* Source of the log's time stamps. */
static const struct fake *clock_source;

static uint64_t fake_clock_us(void)
{
	return clock_source->now_us;
}

/* All relays log as the node "proxy", with time stamps of the fake's clock. */
FILE *fake_log_open(struct fake *f)
{
	static const struct log_budget budget = { 100000, 100000000 };
	FILE *log = tmpfile();

	g_assert(log);
	clock_source = f;
	log_event_set_clock(fake_clock_us);
	log_event_set_node("proxy");
	log_sink_open(fileno(log), &budget);
	return log;
}

/* Ends the capture; later lines are discarded. */
void fake_log_close(FILE *log)
{
	log_sink_open(-1, NULL);
	log_event_set_clock(NULL);
	clock_source = NULL;
	fclose(log);
}

/* Flushes pending lines and seeks to the file's beginning. */
void fake_log_rewind(FILE *log)
{
	log_sink_flush();
	rewind(log);
}

static void node_free(gpointer node)
{
	json_node_unref(node);
}

/* Returns the lines of an event so far as JsonNode, in order. */
GPtrArray *fake_log_lines(FILE *log, const char *event)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(node_free);
	char *text = NULL;
	size_t size = 0;

	fake_log_rewind(log);
	while (getline(&text, &size, log) >= 0) {
		JsonNode *node = json_from_string(text, NULL);
		JsonObject *line;

		if (!node || !JSON_NODE_HOLDS_OBJECT(node))
			g_error("not a JSON object: %s", text);
		line = json_node_get_object(node);
		if (!strcmp(json_object_get_string_member_with_default(
				    line, "event", ""),
			    event))
			g_ptr_array_add(lines, node);
		else
			json_node_unref(node);
	}
	free(text);
	return lines;
}

/* Returns the line with that index, counted from 0. */
JsonObject *fake_log_line(const GPtrArray *lines, unsigned i)
{
	return json_node_get_object(g_ptr_array_index(lines, i));
}
