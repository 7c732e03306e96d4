#include "support_cluster_internal.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>

static void violate(struct cluster *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void violate(struct cluster *c, const char *fmt, ...)
{
	va_list ap;

	if (c->violation[0])
		return;
	va_start(ap, fmt);
	vsnprintf(c->violation, sizeof(c->violation), fmt, ap);
	va_end(ap);
}

static bool has_done(struct cluster *c, unsigned server, uint64_t key)
{
	const struct fdb_entry *e = fdb_find(c->db, server, key);

	return e && e->kind == FDB_DONE;
}

/*
 * Called on a promotion: no term may have two primaries, and the new primary
 * must have every write that was acknowledged in an earlier term.
 */
void check_promotion(void *ctx, unsigned server, uint64_t term)
{
	struct cluster *c = ctx;
	struct leader new = { term, server, sim_now(c->sim) };
	const struct leader *old;
	const struct write *w;
	unsigned i;

	for (i = 0; i < c->leaders->len; i++) {
		old = &g_array_index(c->leaders, struct leader, i);
		if (old->term == term && old->server != server)
			violate(c, "two primaries of term %" PRIu64, term);
	}
	g_array_append_val(c->leaders, new);
	c->counts.promotions++;
	for (i = 0; i < c->writes->len; i++) {
		w = g_ptr_array_index(c->writes, i);
		if (w->state == WRITE_ACKNOWLEDGED && w->at.term < term &&
		    !has_done(c, server, w->key))
			violate(c,
				"write %" PRIu64 " of term %" PRIu64
				" lost in term %" PRIu64,
				w->key, w->at.term, term);
	}
}

/*
 * Detects an acknowledgement by a superseded primary: a primary of a later term
 * has no committed row of the write, or one whose entry was committed after its
 * promotion.
 */
void check_ack(struct cluster *c, const struct write *w)
{
	const struct leader *l;
	const struct fdb_entry *e;
	unsigned i;

	for (i = 0; i < c->leaders->len; i++) {
		l = &g_array_index(c->leaders, struct leader, i);
		if (l->term <= w->at.term)
			continue;
		e = fdb_find(c->db, l->server, w->key);
		if (!e || e->kind != FDB_DONE || e->committed_at_us > l->at_us)
			violate(c,
				"write %" PRIu64
				" acknowledged in term %" PRIu64
				" though %" PRIu64 " has a primary",
				w->key, w->at.term, l->term);
	}
}

/*
 * After healing, the primary must take writes, and its log must have every
 * acknowledged write, no write twice and none that was reported as not run.
 */
const char *cluster_check_end(struct cluster *c)
{
	unsigned primary = cluster_primary(c);
	GHashTable *done = g_hash_table_new(NULL, NULL);
	const struct fdb_entry *e;
	const struct write *w;
	unsigned i;

	for (i = 1; i <= fdb_log_length(c->db, primary); i++) {
		e = fdb_log_at(c->db, primary, i);
		if (e->kind == FDB_DONE &&
		    !g_hash_table_add(done, GSIZE_TO_POINTER(e->key)))
			violate(c, "write %" PRIu64 " doubled", e->key);
	}
	for (i = 0; i < c->writes->len; i++) {
		w = g_ptr_array_index(c->writes, i);
		if (w->state == WRITE_ACKNOWLEDGED &&
		    !g_hash_table_contains(done, GSIZE_TO_POINTER(w->key)))
			violate(c, "write %" PRIu64 " lost", w->key);
		if (w->state == WRITE_NOT_RUN &&
		    g_hash_table_contains(done, GSIZE_TO_POINTER(w->key)))
			violate(c,
				"write %" PRIu64
				" stored although reported as not run",
				w->key);
	}
	g_hash_table_destroy(done);
	if (!fdb_can_write(c->db, primary))
		violate(c, "no primary at the end");
	return c->violation;
}

const char *cluster_violation(const struct cluster *c)
{
	return c->violation;
}
