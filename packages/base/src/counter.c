#include <celeryquay/base/counter.h>

#include <inttypes.h>
#include <string.h>

/* Upper bounds of the buckets in microseconds; the last bucket has none. */
static const uint64_t bounds_us[] = {
	100,   250,    500,    1000,   2500,	5000,	 10000,	  25000,
	50000, 100000, 250000, 500000, 1000000, 2500000, 10000000
};
#define N_BOUNDS G_N_ELEMENTS(bounds_us)

struct counter {
	enum counter_kind kind;
	char *name;
	char *labels;
	char *help;
	int64_t value; /* histogram: number of observations */
	uint64_t sum_us;
	uint64_t buckets[N_BOUNDS + 1]; /* not cumulative */
};

struct counter_set {
	GPtrArray *counters; /* struct counter, in order of creation */
	GHashTable *by_key; /* "name{labels}" -> struct counter, not owned */
};

static void counter_destroy(gpointer data)
{
	struct counter *c = data;

	g_free(c->name);
	g_free(c->labels);
	g_free(c->help);
	g_free(c);
}

/* Creates an empty table. */
struct counter_set *counter_set_create(void)
{
	struct counter_set *set = g_new0(struct counter_set, 1);

	set->counters = g_ptr_array_new_with_free_func(counter_destroy);
	set->by_key =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return set;
}

/* Frees the table and every counter in it. */
void counter_set_destroy(struct counter_set *set)
{
	if (!set)
		return;
	g_hash_table_destroy(set->by_key);
	g_ptr_array_free(set->counters, TRUE);
	g_free(set);
}

/* Returns the metric with this name and labels, creating it if needed. */
struct counter *counter_get(struct counter_set *set, enum counter_kind kind,
			    const char *name, const char *labels,
			    const char *help)
{
	char *key = g_strdup_printf("%s{%s}", name, labels ? labels : "");
	struct counter *c = g_hash_table_lookup(set->by_key, key);

	if (c) {
		g_free(key);
		return c;
	}
	c = g_new0(struct counter, 1);
	c->kind = kind;
	c->name = g_strdup(name);
	c->labels = g_strdup(labels ? labels : "");
	c->help = g_strdup(help ? help : "");
	g_ptr_array_add(set->counters, c);
	g_hash_table_insert(set->by_key, key, c);
	return c;
}

/* Adds n to a counter or gauge. */
void counter_add(struct counter *c, uint64_t n)
{
	c->value += (int64_t)n;
}

/* Sets a gauge. */
void counter_set(struct counter *c, int64_t value)
{
	c->value = value;
}

/* Records one duration, in microseconds, in a histogram. */
void counter_observe_us(struct counter *c, uint64_t us)
{
	size_t i = 0;

	while (i < N_BOUNDS && us > bounds_us[i])
		i++;
	c->buckets[i]++;
	c->sum_us += us;
	c->value++;
}

/* Counter or gauge: its value. Histogram: the number of observations. */
uint64_t counter_value(const struct counter *c)
{
	return (uint64_t)c->value;
}

static void write_histogram(const struct counter *c, GString *out)
{
	const char *comma = *c->labels ? "," : "";
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i <= N_BOUNDS; i++) {
		sum += c->buckets[i];
		g_string_append_printf(out, "%s_bucket{%s%sle=\"", c->name,
				       c->labels, comma);
		if (i < N_BOUNDS)
			g_string_append_printf(out, "%g",
					       (double)bounds_us[i] / 1e6);
		else
			g_string_append(out, "+Inf");
		g_string_append_printf(out, "\"} %" PRIu64 "\n", sum);
	}
	g_string_append_printf(out, "%s_sum{%s} %g\n", c->name, c->labels,
			       (double)c->sum_us / 1e6);
	g_string_append_printf(out, "%s_count{%s} %" PRIu64 "\n", c->name,
			       c->labels, sum);
}

/* Prometheus requires one HELP and TYPE per name, before its first sample. */
static void write_head(const struct counter *c, GHashTable *seen, GString *out)
{
	static const char *const types[] = { "counter", "gauge", "histogram" };

	if (!g_hash_table_add(seen, c->name))
		return;
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n", c->name,
			       c->help, c->name, types[c->kind]);
}

static void write_family(const struct counter_set *set, const char *name,
			 GString *out)
{
	guint i;

	for (i = 0; i < set->counters->len; i++) {
		const struct counter *c = g_ptr_array_index(set->counters, i);

		if (strcmp(c->name, name) != 0)
			continue;
		if (c->kind == COUNTER_HISTOGRAM)
			write_histogram(c, out);
		else
			g_string_append_printf(out, "%s{%s} %" PRId64 "\n",
					       c->name, c->labels, c->value);
	}
}

/* Appends all metrics as Prometheus text, grouped by name. */
void counter_write(const struct counter_set *set, GString *out)
{
	GHashTable *seen = g_hash_table_new(g_str_hash, g_str_equal);
	guint i;

	for (i = 0; i < set->counters->len; i++) {
		const struct counter *c = g_ptr_array_index(set->counters, i);

		if (g_hash_table_contains(seen, c->name))
			continue;
		write_head(c, seen, out);
		write_family(set, c->name, out);
	}
	g_hash_table_destroy(seen);
}
