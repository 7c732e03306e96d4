#include "confsync_internal.h"

#include <string.h>

/* Keys of the message's map; a number is never reused for another meaning. */
enum field {
	FIELD_TYPE = 1,
	FIELD_REVISION = 2,
	FIELD_REVISION_HASH = 3,
	FIELD_HASH = 4,
	FIELD_AS_UPDATE = 5,
	FIELD_CURSOR = 6,
	FIELD_LAST = 7,
	FIELD_MASK = 8,
	FIELD_BUCKETS = 9,
	FIELD_ITEMS = 10,
};

/* Lengths of an item's array; later releases may append elements. */
#define ITEM_LEN_WITHOUT_JSON 3
#define ITEM_LEN_WITH_JSON 4
#define FLAG_REMOVED 1U

/* Upper bounds of packed sizes in bytes. */
#define SIZE_HEADER 64
#define SIZE_TEXT_HEAD 5
#define SIZE_ITEM (1 + SIZE_TEXT_HEAD + 9 + 1)

/* Starts a message without items; the caller sets the other fields. */
void conf_out_init(struct conf_out *o, enum conf_type type)
{
	memset(o, 0, sizeof(*o));
	o->type = type;
	o->size = SIZE_HEADER;
	o->items = g_array_new(FALSE, FALSE, sizeof(struct conf_item));
}

/* Frees the list; the keys and values in it are borrowed. */
void conf_out_clear(struct conf_out *o)
{
	g_array_free(o->items, TRUE);
}

static bool add_item(struct conf_out *o, const struct conf_item *item,
		     size_t limit)
{
	size_t size = SIZE_ITEM + item->key.len;

	if (item->has_json)
		size += SIZE_TEXT_HEAD + item->json.len;
	if (o->items->len && o->size + size > limit)
		return false;
	o->size += size;
	g_array_append_vals(o->items, item, 1);
	return true;
}

/* Adds a key and its revision without a value. */
bool conf_out_key(struct conf_out *o, struct str key, uint64_t revision,
		  bool removed, size_t limit)
{
	struct conf_item item = { .key = key,
				  .revision = revision,
				  .removed = removed };

	return add_item(o, &item, limit);
}

/* Adds the current item of a key, with its value if body, or its tombstone. */
bool conf_out_item(struct conf_out *o, const struct entry *entry, bool body,
		   size_t limit)
{
	struct conf_item item = { .key = str_from_c(entry->key),
				  .revision = entry_revision(entry),
				  .removed = !entry_is_live(entry) };

	if (body && !item.removed) {
		item.has_json = true;
		item.json = str_from_c(entry->item->json);
	}
	return add_item(o, &item, limit);
}

static void pack_items(struct pack *p, const struct conf_out *o)
{
	unsigned i;

	pack_key(p, FIELD_ITEMS);
	pack_array(p, o->items->len);
	for (i = 0; i < o->items->len; i++) {
		const struct conf_item *item =
			&g_array_index(o->items, struct conf_item, i);

		pack_array(p, item->has_json ? ITEM_LEN_WITH_JSON :
					       ITEM_LEN_WITHOUT_JSON);
		pack_str(p, item->key);
		pack_u64(p, item->revision);
		pack_u64(p, item->removed ? FLAG_REMOVED : 0);
		if (item->has_json)
			pack_str(p, item->json);
	}
}

static void pack_buckets(struct pack *p, const struct confsync_table *t)
{
	uint32_t words[CONFSYNC_BUCKETS];
	unsigned i;

	for (i = 0; i < CONFSYNC_BUCKETS; i++)
		words[i] = GUINT32_TO_LE((uint32_t)t->buckets[i]);
	pack_key(p, FIELD_BUCKETS);
	pack_bin(p, words, sizeof(words));
}

/* Encodes the message; the caller owns the reference. */
GBytes *conf_pack(const struct conf_out *o, struct confsync *c)
{
	uint64_t revision = confsync_revision(c);
	struct pack p;
	uint64_t revision_hash;
	bool has_revision_hash;

	has_revision_hash =
		c->ready &&
		confsync_table_hash_at(&c->table, revision, &revision_hash);
	pack_begin(&p, 3U + has_revision_hash + o->as_update +
			       (o->cursor != NULL) + o->last +
			       (o->mask != NULL) + o->buckets +
			       (o->items->len != 0));
	pack_field_u64(&p, FIELD_TYPE, o->type);
	pack_field_u64(&p, FIELD_REVISION, revision);
	pack_field_u64(&p, FIELD_HASH, c->table.hash);
	if (has_revision_hash)
		pack_field_u64(&p, FIELD_REVISION_HASH, revision_hash);
	if (o->as_update)
		pack_field_u64(&p, FIELD_AS_UPDATE, 1);
	if (o->cursor)
		pack_field_str(&p, FIELD_CURSOR, str_from_c(o->cursor));
	if (o->last)
		pack_field_u64(&p, FIELD_LAST, 1);
	if (o->mask) {
		pack_key(&p, FIELD_MASK);
		pack_bin(&p, o->mask, CONFSYNC_MASK_BYTES);
	}
	if (o->buckets)
		pack_buckets(&p, &c->table);
	if (o->items->len)
		pack_items(&p, o);
	return pack_end(&p);
}

static bool parse_item(const msgpack_object *o, struct conf_item *item)
{
	const msgpack_object *e;
	uint64_t flags;

	memset(item, 0, sizeof(*item));
	if (o->type != MSGPACK_OBJECT_ARRAY ||
	    o->via.array.size < ITEM_LEN_WITHOUT_JSON)
		return false;
	e = o->via.array.ptr;
	if (!unpack_str(&e[0], CONFSYNC_MAX_KEY_BYTES, &item->key) ||
	    !item->key.len ||
	    !unpack_u64(&e[1], UINT64_MAX - 1, &item->revision) ||
	    !item->revision || !unpack_u64(&e[2], UINT64_MAX, &flags))
		return false;
	item->removed = flags & FLAG_REMOVED;
	if (o->via.array.size == ITEM_LEN_WITHOUT_JSON)
		return true;
	item->has_json = true;
	return unpack_str(&e[3], SIZE_MAX, &item->json);
}

static bool parse_items(const msgpack_object *list, struct conf_message *msg)
{
	uint32_t i;

	if (!list)
		return true;
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (i = 0; i < list->via.array.size; i++) {
		struct conf_item item;

		if (!parse_item(&list->via.array.ptr[i], &item))
			return false;
		g_array_append_val(msg->items, item);
	}
	return true;
}

static bool parse_hashes(const msgpack_object *map, struct conf_message *msg)
{
	const msgpack_object *mask = unpack_field(map, FIELD_MASK);
	const msgpack_object *buckets = unpack_field(map, FIELD_BUCKETS);
	struct str bytes;
	unsigned i;

	if (mask && (!unpack_bin(mask, &msg->mask) ||
		     msg->mask.len != CONFSYNC_MASK_BYTES))
		return false;
	if (!buckets)
		return true;
	if (!unpack_bin(buckets, &bytes) || bytes.len != sizeof(msg->buckets))
		return false;
	memcpy(msg->buckets, bytes.data, bytes.len);
	for (i = 0; i < CONFSYNC_BUCKETS; i++)
		msg->buckets[i] = GUINT32_FROM_LE(msg->buckets[i]);
	msg->has_buckets = true;
	return true;
}

static bool parse_header(const msgpack_object *map, struct conf_message *msg)
{
	uint64_t as_update = 0, last = 0;

	msg->cursor = msg->mask = STR("");
	if (!unpack_field_u64(map, FIELD_TYPE, UINT64_MAX, &msg->type) ||
	    !unpack_field_u64(map, FIELD_REVISION, UINT64_MAX - 1,
			      &msg->revision) ||
	    !unpack_field_u64(map, FIELD_HASH, UINT64_MAX, &msg->hash) ||
	    !unpack_field_u64(map, FIELD_REVISION_HASH, UINT64_MAX,
			      &msg->revision_hash) ||
	    !unpack_field_u64(map, FIELD_AS_UPDATE, UINT64_MAX, &as_update) ||
	    !unpack_field_str(map, FIELD_CURSOR, CONFSYNC_MAX_KEY_BYTES,
			      &msg->cursor) ||
	    !unpack_field_u64(map, FIELD_LAST, UINT64_MAX, &last))
		return false;
	msg->has_revision_hash = unpack_field(map, FIELD_REVISION_HASH) != NULL;
	msg->as_update = as_update != 0;
	msg->last = last != 0;
	return true;
}

/*
 * Decodes the whole message before any of it is used. The views point into the
 * received bytes. BAD_MESSAGE when any part of it is malformed; unknown types
 * and fields are accepted. The values of items are not validated here.
 */
bool conf_parse(struct conf_message *msg, struct unpack *u, struct err *err)
{
	const char *malformed = NULL;

	memset(msg, 0, sizeof(*msg));
	msg->items = g_array_new(FALSE, FALSE, sizeof(struct conf_item));
	if (!parse_header(&u->root, msg))
		malformed = "header";
	else if (!parse_hashes(&u->root, msg))
		malformed = "hashes";
	else if (!parse_items(unpack_field(&u->root, FIELD_ITEMS), msg))
		malformed = "items";
	if (!malformed)
		return true;
	conf_clear(msg);
	err_set(err, ERR_BAD_MESSAGE, "configuration: malformed %s", malformed);
	return false;
}

/* Frees the list. */
void conf_clear(struct conf_message *msg)
{
	g_array_free(msg->items, TRUE);
}
