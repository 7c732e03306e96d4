#include <celeryquay/relay/server_list.h>

struct relay_server_list {
	GHashTable *infos; /* by key */
	bool changed;
};

/* The copy owns its strings. */
void relay_server_info_copy(struct relay_server_info *to,
			    const struct relay_server_info *from)
{
	*to = *from;
	to->id = g_strdup(from->id);
	to->service = g_strdup(from->service);
	to->host = g_strdup(from->host);
	to->zone = g_strdup(from->zone);
}

/* Frees what a copy owns, not the struct itself. */
void relay_server_info_clear(struct relay_server_info *info)
{
	g_free(info->id);
	g_free(info->service);
	g_free(info->host);
	g_free(info->zone);
}

/* Strings of `from` may be those of `to`. */
void relay_server_info_replace(struct relay_server_info *to,
			       const struct relay_server_info *from)
{
	struct relay_server_info old = *to;

	relay_server_info_copy(to, from);
	relay_server_info_clear(&old);
}

/* Whether all fields are equal. */
bool relay_server_info_equal(const struct relay_server_info *a,
			     const struct relay_server_info *b)
{
	return !g_strcmp0(a->id, b->id) && !g_strcmp0(a->host, b->host) &&
	       !g_strcmp0(a->service, b->service) &&
	       !g_strcmp0(a->zone, b->zone) && a->port == b->port &&
	       a->leaving == b->leaving && a->role == b->role &&
	       a->slots == b->slots && a->started_at_ms == b->started_at_ms &&
	       a->unusable == b->unusable && a->forgotten == b->forgotten &&
	       a->feed_port == b->feed_port &&
	       a->capacity.cpu_permille == b->capacity.cpu_permille &&
	       a->capacity.mbps == b->capacity.mbps;
}

/* NULL is ignored. */
void relay_server_info_free(struct relay_server_info *info)
{
	if (!info)
		return;
	relay_server_info_clear(info);
	g_free(info);
}

static void free_info(gpointer info)
{
	relay_server_info_free(info);
}

/* An empty list. */
struct relay_server_list *relay_server_list_create(bool report_empty)
{
	struct relay_server_list *l = g_new0(struct relay_server_list, 1);

	l->changed = report_empty;
	l->infos = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_info);
	return l;
}

/* The relay has copies of its own. */
void relay_server_list_destroy(struct relay_server_list *l)
{
	g_hash_table_destroy(l->infos);
	g_free(l);
}

/* Replaces the key's entry, if any. */
void relay_server_list_put(struct relay_server_list *l, const char *key,
			   struct relay_server_info *info)
{
	g_hash_table_replace(l->infos, g_strdup(key), info);
	l->changed = true;
}

/* A key that isn't there is ignored. */
void relay_server_list_remove(struct relay_server_list *l, const char *key)
{
	if (g_hash_table_remove(l->infos, key))
		l->changed = true;
}

/*
 * If the entry of a server in use is overwritten with something unreadable, the
 * server gets no new work until it has written its entry again. What runs there
 * ends normally.
 */
void relay_server_list_mark_unusable(struct relay_server_list *l,
				     const char *key)
{
	struct relay_server_info *info = g_hash_table_lookup(l->infos, key);

	if (!info)
		return;
	info->unusable = true;
	l->changed = true;
}

/* Other proxies may not know of the server until its entry is put again. */
void relay_server_list_mark_forgotten(struct relay_server_list *l,
				      const char *key)
{
	struct relay_server_info *info = g_hash_table_lookup(l->infos, key);

	if (!info)
		return;
	info->forgotten = true;
	l->changed = true;
}

/* Number of entries. */
unsigned relay_server_list_size(const struct relay_server_list *l)
{
	return g_hash_table_size(l->infos);
}

/* relay_server_list_pass() must still be called for the whole list. */
void relay_server_list_pass_partial(const struct relay_server_list *l,
				    struct relay *r, relay_list_fn pass,
				    uint64_t now_us)
{
	struct relay_server_info *infos;
	GHashTableIter iter;
	gpointer info;
	unsigned n = 0;

	infos = g_new(struct relay_server_info, g_hash_table_size(l->infos));
	g_hash_table_iter_init(&iter, l->infos);
	while (g_hash_table_iter_next(&iter, NULL, &info))
		infos[n++] = *(struct relay_server_info *)info;
	pass(r, infos, n, now_us);
	g_free(infos);
}

/* Several changes are passed on in one call. */
void relay_server_list_pass(struct relay_server_list *l, struct relay *r,
			    relay_list_fn pass, uint64_t now_us)
{
	if (!l->changed)
		return;
	relay_server_list_pass_partial(l, r, pass, now_us);
	l->changed = false;
}
