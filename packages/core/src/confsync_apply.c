#define LOG_MODULE "confsync"
#include "confsync_internal.h"

#include <celeryquay/base/log.h>

#include <inttypes.h>
#include <string.h>

/* Limits the log, as peers repeat their messages; the counter goes on. */
#define CONFLICTS_LOGGED 10

/*
 * Reports two values with the same key and revision, which can't come from one
 * store. The first one stays, so that the value does not flip back and forth.
 */
static void check_conflict(struct confsync *c, const struct entry *entry,
			   const struct conf_item *in)
{
	const struct item *item = entry->item;

	if (!item || item->revision != in->revision)
		return;
	if (item->removed == in->removed &&
	    (in->removed || !in->has_json ||
	     str_eq(str_from_c(item->json), in->json)))
		return;
	c->stats.conflicts++;
	if (c->stats.conflicts > CONFLICTS_LOGGED)
		return;
	LOG_ERR("%s has two different values at revision %" PRIu64, entry->key,
		in->revision);
}

static void apply_item(struct confsync *c, struct entry *entry,
		       struct item *item)
{
	confsync_table_set(&c->table, entry, item);
	model_put(c->model, item);
	if (c->ops->in_force)
		c->ops->in_force(c->ctx, item);
	if (item->removed)
		confsync_table_trim(c);
}

static struct item *make_item(const char *key, const struct conf_item *in,
			      struct err *err)
{
	struct item *item;

	if (!in->removed)
		return item_parse(key, in->revision, in->json, err);
	item = item_tombstone(key, in->revision);
	if (!item)
		err_set(err, ERR_BAD_ITEM, "%s: no such kind of item", key);
	return item;
}

/* Records an invalid value, which is not sent on; the last valid one stays. */
static enum apply_result reject_value(struct confsync *c, struct entry *entry,
				      uint64_t revision, const struct err *err)
{
	confsync_table_set_bad(&c->table, entry, revision);
	if (c->ops->rejected)
		c->ops->rejected(c->ctx, entry->key, revision, err);
	return APPLY_REJECTED;
}

/*
 * Whether a peer offers an item that was removed. A node that was away for
 * days, or one with an old copy of the table, still has items that were removed
 * long ago; once their tombstones are dropped, such an item would come back.
 * But this node's table is complete up to its revision: a key without an item
 * did not exist then, so any value up to that revision has been removed.
 */
static bool is_resurrection(const struct confsync *c, const struct entry *entry,
			    const struct conf_item *in)
{
	return !in->removed && !entry_revision(entry) &&
	       in->revision <= confsync_revision(c);
}

/* Whether a removal is known although its tombstone has been dropped. */
static bool is_known_removal(const struct confsync *c,
			     const struct entry *entry,
			     const struct conf_item *in)
{
	return in->removed && !entry && in->revision <= confsync_revision(c);
}

/*
 * Applies an item with its value, or a tombstone, if it is newer than the known
 * one. The value is validated first; the error says why it is rejected.
 */
enum apply_result confsync_apply(struct confsync *c, const struct conf_item *in,
				 bool from_store, struct err *err)
{
	char *key = str_dup(in->key);
	struct entry *entry = confsync_table_find(&c->table, key);
	enum apply_result result = APPLY_STALE;
	struct err local = { 0 };
	struct item *item;

	if (entry && in->revision <= entry_revision(entry)) {
		check_conflict(c, entry, in);
		goto out;
	}
	if (entry && in->revision <= entry->bad_revision)
		goto out;
	if (!from_store && is_resurrection(c, entry, in)) {
		c->stats.refused++;
		result = APPLY_REFUSED;
		goto out;
	}
	if (is_known_removal(c, entry, in))
		goto out;
	item = make_item(key, in, &local);
	entry = confsync_table_get(&c->table, key);
	if (item) {
		apply_item(c, entry, item);
		item_unref(item);
		result = APPLY_DONE;
	} else {
		result = reject_value(c, entry, in->revision, &local);
		if (err)
			*err = local;
	}
out:
	g_free(key);
	return result;
}

/*
 * A peer's table is complete up to a revision and had this hash then. If this
 * node's table had the same hash as of that revision, it is complete up to
 * there too, whatever newer items it has.
 */
void confsync_learn_revision(struct confsync *c, uint64_t revision,
			     uint64_t revision_hash)
{
	uint64_t own;

	if (revision <= c->complete_revision || !c->ready)
		return;
	if (confsync_table_hash_at(&c->table, revision, &own) &&
	    own == revision_hash)
		c->complete_revision = revision;
}
