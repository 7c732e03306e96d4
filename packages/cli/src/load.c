#define _GNU_SOURCE
#include "load.h"

#include "log_lines.h"

#include <string.h>

/* Rows kept, of all seconds together: about 20 MB. */
#define ROWS_MAX 50000
/* Rows kept with a distribution of waits, of 2 KB each: 20 MB. */
#define WAIT_ROWS_MAX 10000
#define SECONDS_MAX 100000 /* more than a day; about 10 MB */
#define FIELD_MAX_BYTES 128 /* longer texts are cut off */
#define FIELDS_MAX 6
#define SEPARATOR "\x1f" /* between the fields of a key */

/*
 * Waits below WAIT_EXACT_MS are counted exactly, longer ones in WAIT_STEPS
 * buckets for each doubling, so that a median is off by 1/64 at most. Waits of
 * 2^WAIT_MAX_BITS ms (17 minutes) and more share the last bucket.
 */
#define WAIT_EXACT_BITS 6
#define WAIT_EXACT_MS (1U << WAIT_EXACT_BITS)
#define WAIT_STEPS (WAIT_EXACT_MS / 2)
#define WAIT_MAX_BITS 20
#define WAIT_BUCKETS \
	(WAIT_EXACT_MS + (WAIT_MAX_BITS - WAIT_EXACT_BITS) * WAIT_STEPS)

enum list { LIST_REFUSED, LIST_WAITED, LIST_CLOSED, LIST_NOT_OPENED, LISTS };

/* The lists of a second: their lines, what is summed up, and by what. */
static const struct list_info {
	const char *event;
	const char *name; /* in JSON */
	const char *heading; /* of the table */
	const char *fields[FIELDS_MAX]; /* that tell rows apart */
	const char *numbers[2]; /* that are summed up */
} infos[LISTS] = {
	[LIST_REFUSED] = { "statement",
			   "refused",
			   "statements refused",
			   { "to", "service", "account", "kind", "code",
			     "why" },
			   { "expected_wait_ms", "queue" } },
	[LIST_WAITED] = { "route",
			  "waited",
			  "statements routed",
			  { "service", "server" },
			  { "waited_ms" } },
	[LIST_CLOSED] = { "connection-closed",
			  "closed",
			  "connections closed for another account",
			  { "service", "server", "account", "for" },
			  { "idle_ms" } },
	[LIST_NOT_OPENED] = { "connection-refused",
			      "not_opened",
			      "connections refused by servers",
			      { "service", "server", "code", "why" },
			      { "of_all", "limit" } },
};

/* A number of log lines, summed up. */
struct numbers {
	unsigned n;
	uint64_t sum;
	uint64_t most;
};

struct row {
	int64_t at_s;
	enum list list;
	char *text; /* the fields' values, with SEPARATOR between them */
	unsigned n;
	unsigned n_sampled; /* of these, lines of sampled statements */
	unsigned n_no_server; /* refused since no server was usable */
	struct numbers numbers[2];
	unsigned *waits; /* WAIT_BUCKETS counts, or NULL */
};

struct second {
	int64_t at_s;
	unsigned n[LISTS];
	unsigned n_sampled[LISTS];
	unsigned n_to_proxies; /* refusals that homes told to other proxies */
	uint64_t n_dropped; /* lines that proxies did not write */
};

struct load {
	struct load_range range;
	GHashTable *rows; /* second, list and text -> struct row */
	GHashTable *seconds; /* struct second by at_s */
	unsigned n_wait_rows;
	unsigned n_untold; /* lines counted without a row: ROWS_MAX */
	unsigned n_left_out; /* lines not counted: SECONDS_MAX */
	unsigned n_timeless; /* lines not counted: no valid time */
	/* The values of log_sample in `started` lines; both 0: none seen. */
	int64_t least_sample, most_sample;
};

static void row_free(gpointer data)
{
	struct row *r = data;

	g_free(r->text);
	g_free(r->waits);
	g_free(r);
}

/* Reads an instant with a date in UTC, or as seconds since 1970. */
bool load_parse_second(const char *text, int64_t *out)
{
	GTimeZone *utc;
	GDateTime *t;

	if (g_ascii_string_to_signed(text, 10, 0, G_MAXINT64, out, NULL))
		return true;
	utc = g_time_zone_new_utc();
	t = g_date_time_new_from_iso8601(text, utc);
	g_time_zone_unref(utc);
	if (!t)
		return false;
	*out = g_date_time_to_unix(t);
	g_date_time_unref(t);
	return true;
}

struct load *load_create(const struct load_range *range)
{
	struct load *l = g_new0(struct load, 1);

	l->range = *range;
	l->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					row_free);
	l->seconds = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return l;
}

/* NULL is ignored. */
void load_destroy(struct load *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->rows);
	g_hash_table_destroy(l->seconds);
	g_free(l);
}

/* The second, NULL if too many others are kept. */
static struct second *second_of(struct load *l, int64_t at_s)
{
	struct second *s = g_hash_table_lookup(l->seconds, &at_s);

	if (s)
		return s;
	if (g_hash_table_size(l->seconds) == SECONDS_MAX)
		return NULL;
	s = g_new0(struct second, 1);
	s->at_s = at_s;
	g_hash_table_insert(l->seconds, &s->at_s, s);
	return s;
}

/*
 * Appends a field's value: each run of digits as N if `fold`, and no control
 * characters, which would reach the operator's terminal.
 */
static void append_field(GString *out, const char *value, bool fold)
{
	size_t begin = out->len;
	char *cut = NULL;

	if (strlen(value) > FIELD_MAX_BYTES)
		value = cut = g_utf8_make_valid(value, FIELD_MAX_BYTES);
	for (; *value; value++) {
		if (fold && g_ascii_isdigit(*value)) {
			if (out->len == begin || out->str[out->len - 1] != 'N')
				g_string_append_c(out, 'N');
			continue;
		}
		g_string_append_c(out, g_ascii_iscntrl(*value) ? ' ' : *value);
	}
	if (out->len == begin)
		g_string_append_c(out, '-');
	g_free(cut);
}

static const char *field_of(JsonObject *line, const char *field)
{
	if (!strcmp(field, "to"))
		return log_lines_bool(line, "from_proxy") ? "proxy" : "caller";
	return log_lines_text(line, field);
}

/* The values of the fields that tell the rows of the list apart. */
static GString *text_of(enum list list, JsonObject *line)
{
	GString *text = g_string_new(NULL);
	unsigned i;

	for (i = 0; i < FIELDS_MAX && infos[list].fields[i]; i++) {
		const char *field = infos[list].fields[i];

		if (i)
			g_string_append(text, SEPARATOR);
		append_field(text, field_of(line, field),
			     !strcmp(field, "why"));
	}
	return text;
}

/* The row with that text, NULL if too many others are kept. */
static struct row *row_of(struct load *l, int64_t at_s, enum list list,
			  const char *text)
{
	char *key = g_strdup_printf("%" G_GINT64_FORMAT SEPARATOR "%d" SEPARATOR
				    "%s",
				    at_s, (int)list, text);
	struct row *r = g_hash_table_lookup(l->rows, key);

	if (r || g_hash_table_size(l->rows) == ROWS_MAX ||
	    (list == LIST_WAITED && l->n_wait_rows == WAIT_ROWS_MAX)) {
		g_free(key);
		return r;
	}
	r = g_new0(struct row, 1);
	r->at_s = at_s;
	r->list = list;
	r->text = g_strdup(text);
	if (list == LIST_WAITED) {
		r->waits = g_new0(unsigned, WAIT_BUCKETS);
		l->n_wait_rows++;
	}
	g_hash_table_insert(l->rows, key, r);
	return r;
}

static unsigned bucket_of(uint64_t wait_ms)
{
	unsigned bits, shift;

	if (wait_ms < WAIT_EXACT_MS)
		return (unsigned)wait_ms;
	bits = 64 - (unsigned)__builtin_clzll(wait_ms);
	if (bits > WAIT_MAX_BITS)
		return WAIT_BUCKETS - 1;
	shift = bits - WAIT_EXACT_BITS;
	return WAIT_EXACT_MS + (shift - 1) * WAIT_STEPS +
	       (unsigned)(wait_ms >> shift) - WAIT_STEPS;
}

/* The middle of a bucket. */
static uint64_t bucket_ms(unsigned bucket)
{
	unsigned shift, step;

	if (bucket < WAIT_EXACT_MS)
		return bucket;
	shift = (bucket - WAIT_EXACT_MS) / WAIT_STEPS + 1;
	step = (bucket - WAIT_EXACT_MS) % WAIT_STEPS + WAIT_STEPS;
	return ((uint64_t)step << shift) + ((uint64_t)1 << shift) / 2;
}

/* The lower one of two medians. */
static uint64_t median_ms(const struct row *r)
{
	unsigned i = 0, n = r->waits[0];

	while (n < (r->numbers[0].n + 1) / 2)
		n += r->waits[++i];
	return MIN(bucket_ms(i), r->numbers[0].most);
}

static void add_number(struct numbers *to, uint64_t value)
{
	to->n++;
	to->sum += value;
	to->most = MAX(to->most, value);
}

/*
 * Whether the line has the field, and it decided. A statement that never waited
 * for a server at that proxy has an expected wait and service time of 0.
 */
static bool has_number(JsonObject *line, const char *name)
{
	if (!json_object_has_member(line, name))
		return false;
	return strcmp(name, "expected_wait_ms") != 0 ||
	       log_lines_number(line, "expected_service_ms") > 0 ||
	       log_lines_number(line, name) > 0;
}

static uint64_t number_of(JsonObject *line, const char *name)
{
	int64_t value = log_lines_number(line, name);

	return value > 0 ? (uint64_t)value : 0;
}

static void add_to_row(struct row *r, JsonObject *line, bool sampled)
{
	const struct list_info *info = &infos[r->list];
	unsigned i;

	r->n++;
	r->n_sampled += sampled;
	r->n_no_server +=
		r->list == LIST_REFUSED &&
		!strcmp(log_lines_text(line, "expected_wait"), "no-server");
	for (i = 0; i < G_N_ELEMENTS(info->numbers); i++)
		if (info->numbers[i] && has_number(line, info->numbers[i]))
			add_number(&r->numbers[i],
				   number_of(line, info->numbers[i]));
	if (r->waits)
		r->waits[bucket_of(number_of(line, "waited_ms"))]++;
}

/*
 * A route line of a first try is written for sampled statements alone; repeated
 * tries and refusals are always written.
 */
static bool is_sampled(enum list list, JsonObject *line)
{
	return list == LIST_WAITED && log_lines_number(line, "try") <= 1;
}

static void add_line(struct load *l, struct second *s, enum list list,
		     JsonObject *line)
{
	bool sampled = is_sampled(list, line);
	GString *text = text_of(list, line);
	struct row *r = row_of(l, s->at_s, list, text->str);

	s->n[list]++;
	s->n_sampled[list] += sampled;
	if (list == LIST_REFUSED)
		s->n_to_proxies += log_lines_bool(line, "from_proxy");
	if (r)
		add_to_row(r, line, sampled);
	else
		l->n_untold++;
	g_string_free(text, TRUE);
}

static void note_sample(struct load *l, JsonObject *line)
{
	int64_t every = log_lines_number(line, "log_sample");

	if (every <= 0)
		return;
	l->least_sample = l->least_sample ? MIN(l->least_sample, every) : every;
	l->most_sample = MAX(l->most_sample, every);
}

static uint64_t dropped_of(JsonObject *line)
{
	return number_of(line, "routine") + number_of(line, "failure") +
	       number_of(line, "state");
}

/* LISTS: the line is of none of them. */
static enum list list_of(JsonObject *line)
{
	const char *event = log_lines_text(line, "event");
	unsigned i = 0;

	while (i < LISTS && strcmp(infos[i].event, event) != 0)
		i++;
	if (i == LIST_REFUSED &&
	    strcmp(log_lines_text(line, "outcome"), "not_run") != 0)
		return LISTS;
	return (enum list)i;
}

static void take(struct load *l, JsonObject *line)
{
	bool dropped = !strcmp(log_lines_text(line, "event"), "log-dropped");
	enum list list = list_of(line);
	struct second *s;
	int64_t at_s;

	if (!strcmp(log_lines_text(line, "event"), "started"))
		note_sample(l, line);
	if (list == LISTS && !dropped)
		return;
	if (!load_parse_second(log_lines_text(line, "time"), &at_s)) {
		l->n_timeless++;
		return;
	}
	if (at_s < l->range.from_s || at_s > l->range.to_s)
		return;
	s = second_of(l, at_s);
	if (!s)
		l->n_left_out++;
	else if (dropped)
		s->n_dropped += dropped_of(line);
	else
		add_line(l, s, list, line);
}

/* Whether the line may be about load; parsing all would take long. */
static bool may_matter(const char *text, size_t len)
{
	static const char event[] = "\"event\":\"";
	static const char *const others[] = { "log-dropped", "started" };
	const char *at = memmem(text, len, event, sizeof(event) - 1);
	size_t i, left;

	if (!at)
		return false;
	at += sizeof(event) - 1;
	left = len - (size_t)(at - text);
	for (i = 0; i < LISTS + G_N_ELEMENTS(others); i++) {
		const char *name = i < LISTS ? infos[i].event :
					       others[i - LISTS];
		size_t n = strlen(name);

		if (n < left && !memcmp(at, name, n) && at[n] == '"')
			return true;
	}
	return false;
}

static bool take_line(void *ctx, const char *text, size_t len)
{
	JsonParser *parser;
	JsonObject *line;

	if (!may_matter(text, len))
		return true;
	parser = json_parser_new_immutable();
	line = log_lines_parse(parser, text, len);
	if (line)
		take(ctx, line);
	g_object_unref(parser);
	return line;
}

void load_read(struct load *l, const char *name, FILE *log, struct err *err)
{
	log_lines_read(name, log, take_line, l, err);
}

static gint by_row(gconstpointer a, gconstpointer b)
{
	const struct row *x = *(const struct row *const *)a;
	const struct row *y = *(const struct row *const *)b;

	if (x->at_s != y->at_s)
		return x->at_s < y->at_s ? -1 : 1;
	if (x->list != y->list)
		return x->list < y->list ? -1 : 1;
	if (x->n != y->n)
		return x->n > y->n ? -1 : 1;
	return strcmp(x->text, y->text);
}

static gint by_second(gconstpointer a, gconstpointer b)
{
	const struct second *x = *(const struct second *const *)a;
	const struct second *y = *(const struct second *const *)b;

	return x->at_s < y->at_s ? -1 : x->at_s > y->at_s;
}

static GPtrArray *sorted(GHashTable *table, GCompareFunc by)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, table);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(list, value);
	g_ptr_array_sort(list, by);
	return list;
}

/*
 * Takes the rows of one list of a second from those that are left; *n is their
 * number.
 */
static struct row **take_rows(const GPtrArray *rows, unsigned *next,
			      const struct second *s, enum list list,
			      unsigned *n)
{
	struct row **first = (struct row **)rows->pdata + *next;

	for (*n = 0; *next < rows->len; (*next)++, (*n)++) {
		const struct row *r = g_ptr_array_index(rows, *next);

		if (r->at_s != s->at_s || r->list != list)
			break;
	}
	return first;
}

static char *time_text(int64_t at_s)
{
	GDateTime *t = g_date_time_new_from_unix_utc(at_s);
	char *text = t ? g_date_time_format(t, "%Y-%m-%dT%H:%M:%SZ") :
			 g_strdup_printf("%" G_GINT64_FORMAT, at_s);

	if (t)
		g_date_time_unref(t);
	return text;
}

static void write_row_text(const struct row *r, GString *out)
{
	const struct list_info *info = &infos[r->list];
	char **values = g_strsplit(r->text, SEPARATOR, FIELDS_MAX);
	unsigned i;

	g_string_append_printf(out, "  %8u ", r->n);
	for (i = 0; values[i]; i++)
		g_string_append_printf(out, " %s=%s", info->fields[i],
				       values[i]);
	g_strfreev(values);
	if (r->n_no_server)
		g_string_append_printf(out, "; no usable server: %u",
				       r->n_no_server);
	for (i = 0; i < G_N_ELEMENTS(r->numbers); i++) {
		const struct numbers *v = &r->numbers[i];

		if (!v->n)
			continue;
		g_string_append_printf(out, "; %s: ", info->numbers[i]);
		if (r->waits)
			g_string_append_printf(out, "median %" G_GUINT64_FORMAT,
					       median_ms(r));
		else
			g_string_append_printf(out, "mean %" G_GUINT64_FORMAT,
					       v->sum / v->n);
		g_string_append_printf(out, ", most %" G_GUINT64_FORMAT,
				       v->most);
	}
	g_string_append_c(out, '\n');
}

static void write_heading(const struct second *s, enum list list, GString *out)
{
	g_string_append_printf(out, "  %s: %u", infos[list].heading,
			       s->n[list]);
	if (list == LIST_REFUSED)
		g_string_append_printf(
			out,
			", of these %u told to callers, %u by homes to other "
			"proxies",
			s->n[list] - s->n_to_proxies, s->n_to_proxies);
	if (list == LIST_WAITED)
		g_string_append_printf(out,
				       ", of these %u of the sample, %u "
				       "repeated tries",
				       s->n_sampled[list],
				       s->n[list] - s->n_sampled[list]);
	g_string_append_c(out, '\n');
}

static void write_list_text(const struct load *l, const struct second *s,
			    enum list list, struct row **rows, unsigned n,
			    GString *out)
{
	unsigned i, shown = MIN(n, l->range.top), n_lines = 0;

	if (!s->n[list])
		return;
	write_heading(s, list, out);
	for (i = 0; i < shown; i++) {
		write_row_text(rows[i], out);
		n_lines += rows[i]->n;
	}
	if (n_lines < s->n[list])
		g_string_append_printf(out, "  %8u  in other rows\n",
				       s->n[list] - n_lines);
}

/* Which part of the statements the route lines of first tries stand for. */
static void write_sample(const struct load *l, GString *out)
{
	g_string_append(out, "first tries are logged for ");
	if (!l->most_sample)
		g_string_append(out, "a sample of the statements, one in "
				     "log_sample, which no line tells\n");
	else if (l->least_sample == l->most_sample)
		g_string_append_printf(out,
				       "one statement in %" G_GINT64_FORMAT
				       " (log_sample)\n",
				       l->most_sample);
	else
		g_string_append_printf(
			out,
			"one statement in %" G_GINT64_FORMAT
			" to %" G_GINT64_FORMAT
			" (log_sample differs between proxies)\n",
			l->least_sample, l->most_sample);
}

static void write_notes(const struct load *l, GString *out)
{
	if (!g_hash_table_size(l->seconds))
		g_string_append(out, "no lines about load in these logs\n");
	else
		write_sample(l, out);
	if (l->n_untold)
		g_string_append_printf(out,
				       "%u lines are in no row: too many rows; "
				       "use --from and --to\n",
				       l->n_untold);
	if (l->n_left_out)
		g_string_append_printf(out,
				       "%u lines were left out: too many "
				       "seconds; use --from and --to\n",
				       l->n_left_out);
	if (l->n_timeless)
		g_string_append_printf(
			out, "%u lines were left out: no valid time\n",
			l->n_timeless);
}

void load_write_text(const struct load *l, GString *out)
{
	GPtrArray *seconds = sorted(l->seconds, by_second);
	GPtrArray *rows = sorted(l->rows, by_row);
	unsigned i, next = 0, n, list;

	for (i = 0; i < seconds->len; i++) {
		const struct second *s = g_ptr_array_index(seconds, i);
		char *time = time_text(s->at_s);

		g_string_append_printf(out, "%s\n", time);
		g_free(time);
		for (list = 0; list < LISTS; list++) {
			struct row **first =
				take_rows(rows, &next, s, list, &n);

			write_list_text(l, s, list, first, n, out);
		}
		if (s->n_dropped)
			g_string_append_printf(out,
					       "  log lines dropped by "
					       "proxies: %" G_GUINT64_FORMAT
					       "\n",
					       s->n_dropped);
	}
	write_notes(l, out);
	g_ptr_array_free(rows, TRUE);
	g_ptr_array_free(seconds, TRUE);
}

static JsonObject *json_numbers(const struct row *r, unsigned i)
{
	const struct numbers *v = &r->numbers[i];
	JsonObject *o = json_object_new();

	json_object_set_int_member(o, "lines", v->n);
	if (r->waits)
		json_object_set_int_member(o, "median", (gint64)median_ms(r));
	json_object_set_int_member(o, "mean", (gint64)(v->sum / v->n));
	json_object_set_int_member(o, "most", (gint64)v->most);
	return o;
}

static JsonObject *json_row(const struct row *r)
{
	const struct list_info *info = &infos[r->list];
	char **values = g_strsplit(r->text, SEPARATOR, FIELDS_MAX);
	JsonObject *o = json_object_new();
	unsigned i;

	for (i = 0; values[i]; i++)
		json_object_set_string_member(o, info->fields[i], values[i]);
	g_strfreev(values);
	json_object_set_int_member(o, "lines", r->n);
	json_object_set_int_member(o, "sampled", r->n_sampled);
	if (r->list == LIST_REFUSED)
		json_object_set_int_member(o, "no_server", r->n_no_server);
	for (i = 0; i < G_N_ELEMENTS(r->numbers); i++)
		if (r->numbers[i].n)
			json_object_set_object_member(o, info->numbers[i],
						      json_numbers(r, i));
	return o;
}

static JsonObject *json_list(const struct load *l, const struct second *s,
			     enum list list, struct row **rows, unsigned n)
{
	JsonObject *o = json_object_new();
	JsonArray *array = json_array_new();
	unsigned i;

	json_object_set_int_member(o, "lines", s->n[list]);
	json_object_set_int_member(o, "sampled", s->n_sampled[list]);
	if (list == LIST_REFUSED)
		json_object_set_int_member(o, "to_proxies", s->n_to_proxies);
	for (i = 0; i < MIN(n, l->range.top); i++)
		json_array_add_object_element(array, json_row(rows[i]));
	json_object_set_array_member(o, "rows", array);
	return o;
}

static JsonObject *json_second(const struct load *l, const struct second *s,
			       const GPtrArray *rows, unsigned *next)
{
	JsonObject *o = json_object_new();
	char *time = time_text(s->at_s);
	unsigned list, n;

	json_object_set_string_member(o, "time", time);
	g_free(time);
	for (list = 0; list < LISTS; list++) {
		struct row **first = take_rows(rows, next, s, list, &n);

		json_object_set_object_member(o, infos[list].name,
					      json_list(l, s, list, first, n));
	}
	json_object_set_int_member(o, "dropped_lines", (gint64)s->n_dropped);
	return o;
}

void load_write_json(const struct load *l, GString *out)
{
	JsonNode *root = json_node_new(JSON_NODE_OBJECT);
	JsonObject *o = json_object_new();
	JsonArray *array = json_array_new();
	GPtrArray *seconds = sorted(l->seconds, by_second);
	GPtrArray *rows = sorted(l->rows, by_row);
	unsigned i, next = 0;
	char *text;

	for (i = 0; i < seconds->len; i++)
		json_array_add_object_element(
			array, json_second(l, g_ptr_array_index(seconds, i),
					   rows, &next));
	json_object_set_array_member(o, "seconds", array);
	json_object_set_int_member(o, "log_sample_least", l->least_sample);
	json_object_set_int_member(o, "log_sample_most", l->most_sample);
	json_object_set_int_member(o, "in_no_row", l->n_untold);
	json_object_set_int_member(o, "left_out", l->n_left_out);
	json_object_set_int_member(o, "without_time", l->n_timeless);
	json_node_take_object(root, o);
	text = json_to_string(root, FALSE);
	g_string_append(out, text);
	g_string_append_c(out, '\n');
	g_free(text);
	json_node_unref(root);
	g_ptr_array_free(rows, TRUE);
	g_ptr_array_free(seconds, TRUE);
}
