#define LOG_MODULE "status"
#include "status.h"

#include "homes.h"
#include "scheduler.h"

#include <string.h>

#define ACCOUNTS_MAX 20 /* accounts named for each server */

/* Connections to a server that were opened for one account. */
struct account_conns {
	const char *account; /* empty: the proxy's own */
	unsigned n_idle;
	unsigned n_in_use;
	unsigned n_opening;
};

static unsigned total(const struct account_conns *a)
{
	return a->n_idle + a->n_in_use + a->n_opening;
}

static void unref_table(gpointer table)
{
	g_hash_table_unref(table);
}

static struct account_conns *counts_of(GHashTable *servers,
				       const struct rconn *c)
{
	GHashTable *accounts = g_hash_table_lookup(servers, c->server);
	struct account_conns *a;

	if (!accounts) {
		accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 g_free);
		g_hash_table_insert(servers, c->server, accounts);
	}
	a = g_hash_table_lookup(accounts, c->account);
	if (!a) {
		a = g_new0(struct account_conns, 1);
		a->account = c->account;
		g_hash_table_insert(accounts, c->account, a);
	}
	return a;
}

/*
 * All connections are counted at once: going through them for each server would
 * take long at a proxy that is a home of many services.
 */
GHashTable *rstatus_count_conns(const struct relay *r)
{
	GHashTable *servers = g_hash_table_new_full(
		g_direct_hash, g_direct_equal, NULL, unref_table);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, r->conns);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct rconn *c = value;
		struct account_conns *a = counts_of(servers, c);

		a->n_idle += c->state == RCONN_IDLE;
		a->n_in_use += c->state == RCONN_IN_USE;
		a->n_opening += c->state == RCONN_OPENING;
	}
	return servers;
}

static gint by_total(gconstpointer a, gconstpointer b)
{
	const struct account_conns *x = *(const struct account_conns *const *)a;
	const struct account_conns *y = *(const struct account_conns *const *)b;

	if (total(x) != total(y))
		return total(x) > total(y) ? -1 : 1;
	return strcmp(x->account, y->account);
}

static void write_text(GString *out, const char *key, const char *text)
{
	g_string_append_printf(out, "\"%s\":", key);
	log_append_json_string(out, text, strlen(text));
}

static void write_accounts(GHashTable *accounts, GString *out)
{
	GPtrArray *list = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	unsigned i;

	if (accounts) {
		g_hash_table_iter_init(&iter, accounts);
		while (g_hash_table_iter_next(&iter, NULL, &value))
			g_ptr_array_add(list, value);
	}
	g_ptr_array_sort(list, by_total);
	g_string_append(out, ",\"accounts\":[");
	for (i = 0; i < MIN(list->len, ACCOUNTS_MAX); i++) {
		const struct account_conns *a = g_ptr_array_index(list, i);

		g_string_append(out, i ? ",{" : "{");
		write_text(out, "account", a->account);
		g_string_append_printf(
			out, ",\"idle\":%u,\"in_use\":%u,\"opening\":%u}",
			a->n_idle, a->n_in_use, a->n_opening);
	}
	g_string_append_printf(out, "],\"more_accounts\":%u",
			       list->len - MIN(list->len, ACCOUNTS_MAX));
	g_ptr_array_free(list, TRUE);
}

static void write_server(const struct rserver *s, GHashTable *conns,
			 GString *out)
{
	g_string_append_c(out, '{');
	write_text(out, "server", s->info.id);
	g_string_append_printf(
		out,
		",\"up\":%s,\"slots\":%u,\"busy\":%u,\"connections\":%u,"
		"\"connections_of_all\":%u",
		rserver_is_up(s) ? "true" : "false", s->info.slots, s->n_busy,
		s->n_conns, s->status.connections);
	write_accounts(g_hash_table_lookup(conns, s), out);
	g_string_append_c(out, '}');
}

/*
 * The homes in rank order. They are listed where the service is in use here:
 * ranking all proxies for each of a thousand services takes too long.
 */
static void write_homes(struct rservice *v, GString *out)
{
	GPtrArray *names = g_ptr_array_new();
	unsigned i;

	if (v->is_home || v->homes->len) {
		const GPtrArray *others = role_homes(v);

		for (i = 0; i < others->len; i++)
			g_ptr_array_add(names, others->pdata[i]);
		if (role_is_ranked_home(v))
			g_ptr_array_insert(names,
					   (gint)MIN(v->rank.n_ranked_before,
						     others->len),
					   v->relay->name);
	}
	g_string_append(out, ",\"homes\":[");
	for (i = 0; i < names->len; i++) {
		const char *name = g_ptr_array_index(names, i);

		if (i)
			g_string_append_c(out, ',');
		log_append_json_string(out, name, strlen(name));
	}
	g_string_append_c(out, ']');
	g_ptr_array_free(names, TRUE);
}

static void write_servers(const struct rservice *v, GHashTable *conns,
			  GString *out)
{
	unsigned i;

	g_string_append(out, ",\"server_list\":[");
	for (i = 0; i < v->servers->len; i++) {
		if (i)
			g_string_append_c(out, ',');
		write_server(rservice_server(v, i), conns, out);
	}
	g_string_append_c(out, ']');
}

void rstatus_write_service(struct rservice *v, GHashTable *conns, GString *out,
			   uint64_t now_us)
{
	g_string_append_printf(
		out,
		"{\"service\":\"%s\",\"term\":%" G_GUINT64_FORMAT
		",\"primary\":\"%s\",\"holds\":%s,\"withheld\":%s,"
		"\"servers\":%u,\"pooled\":%s",
		v->name, v->term, v->primary ? v->primary->info.id : "",
		rprimary_lease_holds(v, now_us) ? "true" : "false",
		v->withheld ? "true" : "false", v->servers->len,
		v->pooled ? "true" : "false");
	if (v->is_home)
		g_string_append_printf(out, ",\"rank\":%u",
				       v->rank.n_ranked_before);
	write_homes(v, out);
	if (v->is_home) {
		write_servers(v, conns, out);
		rsched_write_status(v, out);
	}
	g_string_append_c(out, '}');
}
