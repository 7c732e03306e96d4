#include "audit.h"

#include "later.h"

#include <stdio.h>
#include <string.h>

#define WRONG_PRINTED 20

struct audit {
	GPtrArray *attempts;
	GHashTable *asks; /* id -> struct ask */
	unsigned n_asks;
	unsigned n_wrong;
	uint64_t since_us;
};

static void ask_free(gpointer data)
{
	struct ask *k = data;

	g_free(k->name);
	g_free(k->text);
	g_free(k->values);
	g_free(k->shape);
	g_ptr_array_free(k->signatures, TRUE);
	g_free(k);
}

struct audit *audit_create(void)
{
	struct audit *a = g_new0(struct audit, 1);

	a->attempts = g_ptr_array_new_with_free_func(g_free);
	a->asks =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, ask_free);
	a->since_us = later_now_us();
	return a;
}

struct attempt *audit_attempt(struct audit *a)
{
	struct attempt *t = g_new0(struct attempt, 1);

	g_ptr_array_add(a->attempts, t);
	return t;
}

/* A statement with an id of its own; the rest is for the caller to fill in. */
struct ask *audit_ask(struct audit *a)
{
	struct ask *k = g_new0(struct ask, 1);

	g_snprintf(k->id, sizeof(k->id), "%016x", ++a->n_asks);
	k->signatures = g_ptr_array_new_with_free_func(g_free);
	g_hash_table_insert(a->asks, k->id, k);
	return k;
}

/* NULL: nobody asked for that. */
struct ask *audit_find(struct audit *a, struct str id)
{
	char text[ID_SIZE];

	if (id.len >= sizeof(text))
		return NULL;
	memcpy(text, id.data, id.len);
	text[id.len] = '\0';
	return g_hash_table_lookup(a->asks, text);
}

/* A promise was broken. */
void audit_wrong(struct audit *a, const char *format, ...)
{
	char *text;
	va_list args;

	if (++a->n_wrong > WRONG_PRINTED)
		return;
	va_start(args, format);
	text = g_strdup_vprintf(format, args);
	va_end(args);
	printf("  wrong at %.3f s: %s\n",
	       (double)(later_now_us() - a->since_us) / SEC, text);
	g_free(text);
}

unsigned audit_n_wrong(const struct audit *a)
{
	return a->n_wrong;
}

static gint by_name(gconstpointer a, gconstpointer b)
{
	return strcmp(a, b);
}

/* Free it. */
char *audit_values(GHashTable *values)
{
	GList *names = g_list_sort(g_hash_table_get_keys(values), by_name), *l;
	GString *out = g_string_new(NULL);

	for (l = names; l; l = l->next)
		g_string_append_printf(out, "%s=%s;", (char *)l->data,
				       (char *)g_hash_table_lookup(values,
								   l->data));
	g_list_free(names);
	return g_string_free(out, FALSE);
}
