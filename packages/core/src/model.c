#include <celeryquay/core/model.h>
#include <celeryquay/core/sha256.h>

#include <openssl/crypto.h>
#include <stdio.h>
#include <string.h>

/* Size of the buffer for a key that is looked up, NUL included. */
#define KEY_BUFFER_SIZE 128

struct model {
	GTree *items; /* key -> item, owned */
	uint64_t revision;
	/* token's SHA-256 in hex -> caller_conf, both in items; NULL: stale */
	GHashTable *callers;
	/* The newest signing key, in items; NULL: not looked up. */
	struct item *signing;
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
	(void)user;
	return strcmp(a, b);
}

static void free_item(gpointer item)
{
	item_unref(item);
}

/* Creates an empty model. */
struct model *model_create(void)
{
	struct model *model = g_new0(struct model, 1);

	model->items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
	return model;
}

static void drop_caller_index(struct model *model)
{
	if (model->callers)
		g_hash_table_destroy(model->callers);
	model->callers = NULL;
}

/* Releases all items; those that requests hold stay valid. */
void model_destroy(struct model *model)
{
	if (!model)
		return;
	drop_caller_index(model);
	g_tree_destroy(model->items);
	g_free(model);
}

/*
 * Puts an item or a tombstone in force and takes a reference. False when one of
 * an equal or higher revision is in force: a late or repeated update can't
 * bring an old value back.
 */
bool model_put(struct model *model, struct item *item)
{
	struct item *old = model_get(model, item->key);

	if (old && old->revision >= item->revision)
		return false;
	if (item->kind == ITEM_CALLER)
		drop_caller_index(model);
	if (item->kind == ITEM_KEY)
		model->signing = NULL;
	/* Replaces the key too, since it is owned by the old item. */
	g_tree_replace(model->items, item->key, item_ref(item));
	model->revision = MAX(model->revision, item->revision);
	return true;
}

/*
 * The item of a key, or its tombstone (see removed), or NULL. The model owns
 * it: take a reference to keep it.
 */
struct item *model_get(struct model *model, const char *key)
{
	return g_tree_lookup(model->items, key);
}

/* Looks up the item of a kind and one or two names; NULL when removed. */
static struct item *get_live(struct model *model, const char *kind,
			     struct str first, const struct str *second)
{
	char key[KEY_BUFFER_SIZE];
	struct item *item;

	if (first.len + (second ? second->len : 0) + 16 > sizeof(key))
		return NULL;
	if (second)
		snprintf(key, sizeof(key), "%s/%.*s/%.*s", kind, (int)first.len,
			 first.data, (int)second->len, second->data);
	else
		snprintf(key, sizeof(key), "%s/%.*s", kind, (int)first.len,
			 first.data);
	item = model_get(model, key);
	return item && !item->removed ? item : NULL;
}

/* The profile of this name, or NULL. */
const struct profile *model_profile(struct model *model, struct str name)
{
	struct item *item = get_live(model, "profile", name, NULL);

	return item ? &item->u.profile : NULL;
}

/* The database of this service and name, or NULL. */
const struct database_conf *model_database(struct model *model,
					   struct str service, struct str name)
{
	struct item *item = get_live(model, "database", service, &name);

	return item ? &item->u.database : NULL;
}

/* Compares digests in constant time; the table hashes the digest itself. */
static gboolean digest_equal(gconstpointer a, gconstpointer b)
{
	return !CRYPTO_memcmp(a, b, SHA256_HEX_LEN);
}

/* Items come in the order of keys; of two equal tokens the first one wins. */
static void index_caller(struct item *item, void *ctx)
{
	GHashTable *callers = ctx;
	struct caller_conf *c = &item->u.caller;
	unsigned i;

	if (item->kind != ITEM_CALLER || item->removed)
		return;
	for (i = 0; c->token_sha256[i]; i++) {
		if (!g_hash_table_contains(callers, c->token_sha256[i]))
			g_hash_table_insert(callers, c->token_sha256[i], c);
	}
}

/*
 * The caller with this token, or NULL. The token's hash is looked up, so the
 * time that it takes reveals nothing about a token that is nearly right.
 */
const struct caller_conf *model_caller_by_token(struct model *model,
						struct str token)
{
	char hex[SHA256_HEX_LEN + 1];

	if (!model->callers) {
		model->callers = g_hash_table_new(g_str_hash, digest_equal);
		model_each(model, index_caller, model->callers);
	}
	sha256_hex(token, hex);
	return g_hash_table_lookup(model->callers, hex);
}

static void find_signing(struct item *item, void *ctx)
{
	struct item **newest = ctx;

	if (item->kind != ITEM_KEY || item->removed ||
	    !item->u.signing_key.signing)
		return;
	if (!*newest || item->revision > (*newest)->revision)
		*newest = item;
}

/*
 * The key to sign with: of several the one of the highest revision, so that all
 * proxies that know the same keys use the same one. NULL when there is none.
 */
const struct key_conf *model_signing_key(struct model *model)
{
	if (!model->signing)
		model_each(model, find_signing, &model->signing);
	return model->signing ? &model->signing->u.signing_key : NULL;
}

/* The value of the limit of this name, or the fallback. */
int64_t model_limit(struct model *model, const char *name, int64_t fallback)
{
	struct item *item = get_live(model, "limit", str_from_c(name), NULL);

	return item ? item->u.limit.value : fallback;
}

struct visit {
	model_visit_fn fn;
	void *ctx;
};

static gboolean visit_item(gpointer key, gpointer value, gpointer user)
{
	struct visit *visit = user;

	(void)key;
	visit->fn(value, visit->ctx);
	return FALSE;
}

/* Calls visit for each item, tombstones too, in the order of their keys. */
void model_each(struct model *model, model_visit_fn visit, void *ctx)
{
	struct visit v = { visit, ctx };

	g_tree_foreach(model->items, visit_item, &v);
}

/* The highest revision that has been put in force. */
uint64_t model_revision(struct model *model)
{
	return model->revision;
}
