#define LOG_MODULE "catalog"
#include <celeryquay/relay/catalog.h>

#include <glib.h>
#include <string.h>
#include <xxhash.h>

struct relay_catalog {
	unsigned refs;
	uint64_t version;
	uint64_t idle_transaction_us;
	GHashTable *profiles; /* database -> struct relay_profile */
	GHashTable *services; /* name -> struct relay_service_conf */
	GPtrArray *service_list;
	GHashTable *accounts; /* name -> struct relay_account */
	/* key -> struct relay_account; NULL: several accounts have the key */
	GHashTable *keys;
};

/*
 * Keys come from outside. The random seed keeps anyone from flooding the table
 * with keys whose hashes collide.
 */
static guint hash_key(gconstpointer key)
{
	static uint64_t seed;

	if (!seed)
		seed = (uint64_t)g_random_int() << 32 | g_random_int() | 1;
	return (guint)XXH3_64bits_withSeed(key, strlen(key), seed);
}

static void account_free(gpointer data)
{
	struct relay_account *a = data;

	g_free(a->name);
	g_free(a);
}

static void profile_free(gpointer data)
{
	struct relay_profile *p = data;

	g_free(p->database);
	g_free(p->service);
	g_free(p);
}

static void service_free(gpointer data)
{
	struct relay_service_conf *s = data;

	g_free(s->name);
	g_free(s);
}

/* An empty catalog with one reference. */
struct relay_catalog *relay_catalog_create(uint64_t version,
					   uint64_t idle_transaction_us)
{
	struct relay_catalog *c = g_new0(struct relay_catalog, 1);

	c->refs = 1;
	c->version = version;
	c->idle_transaction_us = idle_transaction_us;
	c->profiles = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    profile_free);
	c->services = g_hash_table_new(g_str_hash, g_str_equal);
	c->service_list = g_ptr_array_new_with_free_func(service_free);
	c->accounts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    account_free);
	c->keys = g_hash_table_new_full(hash_key, g_str_equal, g_free, NULL);
	return c;
}

/* Adds a reference. */
struct relay_catalog *relay_catalog_ref(struct relay_catalog *c)
{
	c->refs++;
	return c;
}

/* Drops a reference, and frees the catalog with the last one; NULL is fine. */
void relay_catalog_unref(struct relay_catalog *c)
{
	if (!c || --c->refs)
		return;
	g_hash_table_destroy(c->keys);
	g_hash_table_destroy(c->accounts);
	g_hash_table_destroy(c->profiles);
	g_hash_table_destroy(c->services);
	g_ptr_array_free(c->service_list, TRUE);
	g_free(c);
}

/* Adds a copy of a profile; it replaces an earlier one of the database. */
void relay_catalog_add_profile(struct relay_catalog *c,
			       const struct relay_profile *profile)
{
	struct relay_profile *copy = g_memdup2(profile, sizeof(*profile));

	copy->database = g_strdup(profile->database);
	copy->service = g_strdup(profile->service);
	g_hash_table_replace(c->profiles, copy->database, copy);
}

/* Adds a copy of a service unless there is one of that name. */
void relay_catalog_add_service(struct relay_catalog *c,
			       const struct relay_service_conf *service)
{
	struct relay_service_conf *copy;

	if (g_hash_table_contains(c->services, service->name))
		return;
	copy = g_memdup2(service, sizeof(*service));
	copy->name = g_strdup(service->name);
	g_hash_table_insert(c->services, copy->name, copy);
	g_ptr_array_add(c->service_list, copy);
}

/* Adds a copy of an account unless there is one of that name. */
bool relay_catalog_add_account(struct relay_catalog *c,
			       const struct relay_account *account)
{
	struct relay_account *copy;

	if (g_hash_table_contains(c->accounts, account->name))
		return false;
	copy = g_memdup2(account, sizeof(*account));
	copy->name = g_strdup(account->name);
	g_hash_table_insert(c->accounts, copy->name, copy);
	return true;
}

/*
 * Adds a key of an account. If two accounts were configured with the same key,
 * its holder could act for whichever was added last, so such a key is accepted
 * for neither.
 */
bool relay_catalog_add_key(struct relay_catalog *c, const char *key,
			   const char *account)
{
	struct relay_account *a = g_hash_table_lookup(c->accounts, account);
	gpointer before;

	if (!*key || !a)
		return false;
	if (g_hash_table_lookup_extended(c->keys, key, NULL, &before) &&
	    before != a) {
		g_hash_table_insert(c->keys, g_strdup(key), NULL);
		return false;
	}
	g_hash_table_insert(c->keys, g_strdup(key), a);
	return true;
}

/* The account of a key, NULL when no single account has it. */
const struct relay_account *relay_catalog_account_of_key(
	const struct relay_catalog *c, const char *key)
{
	return g_hash_table_lookup(c->keys, key);
}

/* An account by its name, NULL when there is none. */
const struct relay_account *relay_catalog_account(const struct relay_catalog *c,
						  const char *name)
{
	return g_hash_table_lookup(c->accounts, name);
}

/* The number of accounts. */
unsigned relay_catalog_accounts(const struct relay_catalog *c)
{
	return g_hash_table_size(c->accounts);
}

/* The version number that the operators gave this configuration. */
uint64_t relay_catalog_version(const struct relay_catalog *c)
{
	return c->version;
}

/* How long a transaction may be idle, in microseconds; 0: no limit. */
uint64_t relay_catalog_idle_transaction_us(const struct relay_catalog *c)
{
	return c->idle_transaction_us;
}

/* The profile of a database, NULL when there is none. */
const struct relay_profile *relay_catalog_profile(const struct relay_catalog *c,
						  const char *database)
{
	return g_hash_table_lookup(c->profiles, database);
}

/* A service by its name, NULL when there is none. */
const struct relay_service_conf *relay_catalog_service(
	const struct relay_catalog *c, const char *name)
{
	return g_hash_table_lookup(c->services, name);
}

/* The number of services. */
unsigned relay_catalog_services(const struct relay_catalog *c)
{
	return c->service_list->len;
}

/* A service by its index, from 0. */
const struct relay_service_conf *relay_catalog_service_at(
	const struct relay_catalog *c, unsigned index)
{
	return g_ptr_array_index(c->service_list, index);
}
