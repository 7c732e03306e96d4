#include <celeryquay/core/model.h>

#include "item_field.h"

#include <celeryquay/core/fresh.h>
#include <celeryquay/core/types.h>
#include <string.h>

/* Bounds the size of a value, in bytes. */
#define ITEM_MAX_JSON 1048576
/* One each for the value, its lists and its servers, and some to spare. */
#define ITEM_MAX_BRACKETS 64
/* Parts of a key between slashes: the kind and up to two names. */
#define ITEM_MAX_PARTS 3

#define SHA256_HEX_LEN 64
#define MS_PER_HOUR (3600 * 1000LL)
#define MAX_AGE_LIMIT_MS (24 * MS_PER_HOUR)
#define DEADLINE_LIMIT_MS MS_PER_HOUR
#define DEADLINE_DEFAULT_MS 5000
#define PRIORITY_DEFAULT 5
#define ANSWER_BYTES_DEFAULT 1048576
#define ANSWER_BYTES_LIMIT 1073741824
#define SLOTS_LIMIT 10000
#define CONNECTIONS_LIMIT 100000

typedef bool (*item_read_fn)(struct item *item, char **names,
			     struct settings *s, struct err *err);

/* How the items of a kind are read and freed. */
struct kind_info {
	const char *name;
	unsigned n_names; /* names in the key after the kind */
	item_read_fn read;
	void (*clear)(struct item *item);
};

static bool read_profile_limits(struct profile *p, struct settings *s,
				struct err *err)
{
	int64_t bytes;

	if (!field_count(s, "priority", 0, 9, PRIORITY_DEFAULT, &p->priority,
			 err) ||
	    !field_count(s, "share", 1, 100, 100, &p->share, err) ||
	    !settings_int(s, "max_answer_bytes", 1, ANSWER_BYTES_LIMIT,
			  ANSWER_BYTES_DEFAULT, &bytes, err))
		return false;
	p->max_answer_bytes = (uint64_t)bytes;
	return true;
}

static bool read_profile(struct item *item, char **names, struct settings *s,
			 struct err *err)
{
	struct profile *p = &item->u.profile;
	bool writes;

	p->name = g_strdup(names[0]);
	if (!field_choice(s, "access", SETTINGS_REQUIRED_STR, "read", "write",
			  &writes, err))
		return false;
	p->access = writes ? ACCESS_WRITE : ACCESS_READ;
	if (!field_ms(s, "max_age_ms", 0, MAX_AGE_LIMIT_MS, 0, &p->max_age_us,
		      err) ||
	    !settings_bool(s, "idempotent", !writes, &p->idempotent, err) ||
	    !field_ms(s, "deadline_ms", 1, DEADLINE_LIMIT_MS,
		      DEADLINE_DEFAULT_MS, &p->deadline_us, err) ||
	    !read_profile_limits(p, s, err) ||
	    !field_ms(s, "wait_for_replica_ms", 0, DEADLINE_LIMIT_MS, 0,
		      &p->wait_for_replica_us, err))
		return false;
	if (p->wait_for_replica_us > p->deadline_us)
		return settings_fail(s, "wait_for_replica_ms", err,
				     "must not be longer than the deadline");
	return true;
}

static void clear_profile(struct item *item)
{
	g_free(item->u.profile.name);
}

static bool read_server(struct server_conf *c, struct settings *s,
			struct err *err)
{
	if (!field_name(s, "name", SETTINGS_REQUIRED_STR, ITEM_MAX_NAME,
			&c->name, err) ||
	    !field_text(s, "host", SETTINGS_REQUIRED_STR, &c->host, err) ||
	    !field_port(s, "port", &c->port, err) ||
	    !field_name(s, "data_centre", "", ITEM_MAX_LOCATION,
			&c->data_centre, err) ||
	    !field_name(s, "region", "", ITEM_MAX_LOCATION, &c->region, err) ||
	    !field_count(s, "slots", 1, SLOTS_LIMIT, SETTINGS_REQUIRED_INT,
			 &c->slots, err) ||
	    !field_count(s, "connections", 1, CONNECTIONS_LIMIT,
			 SETTINGS_REQUIRED_INT, &c->connections, err) ||
	    !field_choice(s, "state", "active", "active", "leaving",
			  &c->leaving, err))
		return false;
	if (c->connections < c->slots)
		return settings_fail(s, "connections", err,
				     "must not be fewer than the slots");
	return settings_reject_unknown(s, err);
}

static bool check_server(const struct database_conf *db, unsigned index,
			 struct settings *s, struct err *err)
{
	const struct server_conf *c = &db->servers[index];
	unsigned i;

	for (i = 0; i < index; i++) {
		if (!strcmp(db->servers[i].name, c->name))
			return settings_fail(s, "servers", err,
					     "two are named %s", c->name);
	}
	if (db->reserve >= c->connections)
		return settings_fail(s, "reserve", err,
				     "leaves no connection to %s", c->name);
	return true;
}

static bool read_servers(struct database_conf *db, struct settings *s,
			 struct err *err)
{
	unsigned count = settings_list_length(s, "servers");
	unsigned i;

	if (!count || count > FRESH_MAX_SERVERS)
		return settings_fail(s, "servers", err,
				     "must be a list of 1 to %d",
				     FRESH_MAX_SERVERS);
	db->servers = g_new0(struct server_conf, count);
	db->n_servers = count;
	for (i = 0; i < count; i++) {
		struct settings *child;
		bool ok;

		child = settings_list_child(s, "servers", i, err);
		if (!child)
			return false;
		ok = read_server(&db->servers[i], child, err);
		settings_destroy(child);
		if (!ok || !check_server(db, i, s, err))
			return false;
	}
	return true;
}

static bool read_database(struct item *item, char **names, struct settings *s,
			  struct err *err)
{
	struct database_conf *db = &item->u.database;

	db->service = g_strdup(names[0]);
	db->name = g_strdup(names[1]);
	return field_text(s, "user", SETTINGS_REQUIRED_STR, &db->user, err) &&
	       field_text(s, "dbname", names[1], &db->dbname, err) &&
	       field_count(s, "reserve", 0, CONNECTIONS_LIMIT, 0, &db->reserve,
			   err) &&
	       read_servers(db, s, err);
}

static void clear_database(struct item *item)
{
	struct database_conf *db = &item->u.database;
	unsigned i;

	for (i = 0; i < db->n_servers; i++) {
		g_free(db->servers[i].name);
		g_free(db->servers[i].host);
		g_free(db->servers[i].data_centre);
		g_free(db->servers[i].region);
	}
	g_free(db->servers);
	g_free(db->service);
	g_free(db->name);
	g_free(db->user);
	g_free(db->dbname);
}

static bool sha256_hex_ok(const char *text)
{
	return strlen(text) == SHA256_HEX_LEN &&
	       strspn(text, "0123456789abcdef") == SHA256_HEX_LEN;
}

static bool read_caller(struct item *item, char **names, struct settings *s,
			struct err *err)
{
	struct caller_conf *c = &item->u.caller;
	unsigned i;

	c->name = g_strdup(names[0]);
	if (!settings_has(s, "token_sha256"))
		return settings_fail(s, "token_sha256", err, "missing");
	if (!settings_str_list(s, "token_sha256", &c->token_sha256, err) ||
	    !settings_str_list(s, "services", &c->services, err) ||
	    !settings_str_list(s, "profiles", &c->profiles, err) ||
	    !field_count(s, "share", 1, 100, 100, &c->share, err) ||
	    !settings_bool(s, "operator", false, &c->operator_rights, err))
		return false;
	for (i = 0; c->token_sha256[i]; i++) {
		if (!sha256_hex_ok(c->token_sha256[i]))
			return settings_fail(s, "token_sha256", err,
					     "element %u is not a SHA-256 in "
					     "lower-case hex",
					     i);
	}
	return true;
}

static void clear_caller(struct item *item)
{
	struct caller_conf *c = &item->u.caller;

	g_free(c->name);
	g_strfreev(c->token_sha256);
	g_strfreev(c->services);
	g_strfreev(c->profiles);
}

static bool read_secret(struct key_conf *k, struct settings *s, struct err *err)
{
	char *text = NULL;
	guchar *bytes;
	gsize len;
	bool ok;

	if (!settings_str(s, "secret", SETTINGS_REQUIRED_STR, &text, err))
		return false;
	bytes = g_base64_decode(text, &len);
	ok = len == sizeof(k->secret);
	if (ok)
		memcpy(k->secret, bytes, len);
	else
		settings_fail(s, "secret", err, "must be base64 of %zu bytes",
			      sizeof(k->secret));
	g_free(bytes);
	g_free(text);
	return ok;
}

static bool read_key(struct item *item, char **names, struct settings *s,
		     struct err *err)
{
	struct key_conf *k = &item->u.signing_key;

	k->id = g_strdup(names[0]);
	return read_secret(k, s, err) &&
	       field_choice(s, "state", SETTINGS_REQUIRED_STR, "accepting",
			    "signing", &k->signing, err);
}

static void clear_key(struct item *item)
{
	g_free(item->u.signing_key.id);
}

static bool read_limit(struct item *item, char **names, struct settings *s,
		       struct err *err)
{
	struct limit_conf *l = &item->u.limit;

	l->name = g_strdup(names[0]);
	return settings_int(s, "value", INT64_MIN, INT64_MAX,
			    SETTINGS_REQUIRED_INT, &l->value, err);
}

static void clear_limit(struct item *item)
{
	g_free(item->u.limit.name);
}

static bool read_primary(struct item *item, char **names, struct settings *s,
			 struct err *err)
{
	struct primary_conf *p = &item->u.primary;
	int64_t term;

	(void)names;
	if (!settings_int(s, "term", 1, INT64_MAX, SETTINGS_REQUIRED_INT, &term,
			  err))
		return false;
	p->term = (uint64_t)term;
	return field_name(s, "server", SETTINGS_REQUIRED_STR, ITEM_MAX_NAME,
			  &p->server, err) &&
	       field_text(s, "holder", SETTINGS_REQUIRED_STR, &p->holder, err);
}

static void clear_primary(struct item *item)
{
	g_free(item->u.primary.server);
	g_free(item->u.primary.holder);
}

static bool read_member(struct item *item, char **names, struct settings *s,
			struct err *err)
{
	struct member_conf *m = &item->u.member;

	m->name = g_strdup(names[0]);
	return field_text(s, "host", SETTINGS_REQUIRED_STR, &m->host, err) &&
	       field_port(s, "peer_port", &m->peer_port, err) &&
	       field_choice(s, "state", "live", "live", "leaving", &m->leaving,
			    err);
}

static void clear_member(struct item *item)
{
	g_free(item->u.member.name);
	g_free(item->u.member.host);
}

static const struct kind_info kinds[ITEM_KIND_COUNT] = {
	[ITEM_PROFILE] = { "profile", 1, read_profile, clear_profile },
	[ITEM_DATABASE] = { "database", 2, read_database, clear_database },
	[ITEM_CALLER] = { "caller", 1, read_caller, clear_caller },
	[ITEM_KEY] = { "key", 1, read_key, clear_key },
	[ITEM_LIMIT] = { "limit", 1, read_limit, clear_limit },
	[ITEM_PRIMARY] = { "primary", 2, read_primary, clear_primary },
	[ITEM_MEMBER] = { "member", 1, read_member, clear_member },
};

/* The name with which keys of this kind begin. */
const char *item_kind_name(enum item_kind kind)
{
	return kinds[kind].name;
}

static bool key_names_ok(const struct kind_info *info, char **parts)
{
	unsigned i;

	if (g_strv_length(parts) != info->n_names + 1)
		return false;
	for (i = 1; parts[i]; i++) {
		if (!item_name_ok(parts[i], ITEM_MAX_NAME))
			return false;
	}
	return true;
}

/* Finds the kind of a key split at its slashes; false if it is malformed. */
static bool key_kind(char **parts, enum item_kind *out)
{
	unsigned i;

	for (i = 0; i < ITEM_KIND_COUNT; i++) {
		if (!strcmp(parts[0], kinds[i].name) &&
		    key_names_ok(&kinds[i], parts)) {
			*out = (enum item_kind)i;
			return true;
		}
	}
	return false;
}

/*
 * Whether the text has no more opening brackets than any item needs, counting
 * those in strings too. The JSON parser recurses for each level, so a megabyte
 * of "[" would overflow the stack.
 */
static bool bracket_count_ok(struct str json)
{
	unsigned count = 0;
	size_t i;

	for (i = 0; i < json.len; i++) {
		if (json.data[i] == '{' || json.data[i] == '[')
			count++;
	}
	return count <= ITEM_MAX_BRACKETS;
}

static struct item *item_create(const char *key, enum item_kind kind,
				uint64_t revision)
{
	struct item *item = g_new0(struct item, 1);

	item->refs = 1;
	item->kind = kind;
	item->key = g_strdup(key);
	item->revision = revision;
	return item;
}

/* Reads and validates the whole value of an item whose key is set. */
static bool read_value(struct item *item, char **parts, struct str json,
		       struct err *err)
{
	struct settings *s;
	bool ok;

	s = settings_from_data(item->key, json.data, json.len, err);
	if (!s)
		return false;
	ok = field_text(s, "change", SETTINGS_REQUIRED_STR, &item->change, err);
	ok = ok && kinds[item->kind].read(item, parts + 1, s, err);
	ok = ok && settings_reject_unknown(s, err);
	settings_destroy(s);
	return ok;
}

/*
 * Reads and validates one item. The key is given without MODEL_PREFIX. NULL and
 * BAD_ITEM, naming item, field and reason, when any of it is invalid.
 */
struct item *item_parse(const char *key, uint64_t revision, struct str json,
			struct err *err)
{
	char **parts = g_strsplit(key, "/", ITEM_MAX_PARTS + 1);
	struct item *item = NULL;
	enum item_kind kind;

	if (!parts[0] || !key_kind(parts, &kind)) {
		err_set(err, ERR_BAD_ITEM, "%s: no such kind of item", key);
		goto out;
	}
	if (json.len > ITEM_MAX_JSON || !bracket_count_ok(json)) {
		err_set(err, ERR_BAD_ITEM,
			"%s: too large or too many brackets for any item", key);
		goto out;
	}
	item = item_create(key, kind, revision);
	item->json = str_dup(json);
	if (!read_value(item, parts, json, err)) {
		if (err)
			err->code = ERR_BAD_ITEM;
		item_unref(item);
		item = NULL;
	}
out:
	g_strfreev(parts);
	return item;
}

/* Records that an item was removed at a revision; NULL for a bad key. */
struct item *item_tombstone(const char *key, uint64_t revision)
{
	char **parts = g_strsplit(key, "/", ITEM_MAX_PARTS + 1);
	struct item *item = NULL;
	enum item_kind kind;

	if (parts[0] && key_kind(parts, &kind)) {
		item = item_create(key, kind, revision);
		item->removed = true;
	}
	g_strfreev(parts);
	return item;
}

/* Takes a reference. */
struct item *item_ref(struct item *item)
{
	item->refs++;
	return item;
}

/* Drops a reference; the last one frees the item. */
void item_unref(struct item *item)
{
	if (!item || --item->refs)
		return;
	kinds[item->kind].clear(item);
	g_free(item->key);
	g_free(item->change);
	g_free(item->json);
	g_free(item);
}
