#include "support_kv.h"

#include <celeryquay/base/clock.h>
#include <celeryquay/suite.h>

#include <stdio.h>
#include <string.h>

#define WAIT_MS 100
#define TIMEOUT_US 400000

struct kv_rig rig;

static void row_free(gpointer data)
{
	struct row *r = data;

	g_free(r->value);
	g_free(r);
}

static struct kv_rig_state state_create(uint64_t revision)
{
	GHashTable *rows = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, row_free);

	return (struct kv_rig_state){ rows, revision };
}

static void put_row(struct kv_rig_state *state, const char *key,
		    uint64_t revision, const char *value)
{
	struct row *r = g_new0(struct row, 1);

	r->revision = revision;
	r->value = g_strdup(value);
	g_hash_table_replace(state->rows, g_strdup(key), r);
}

void kv_rig_put(const char *key, const char *value)
{
	put_row(&rig.state, key, ++rig.state.revision, value);
}

static struct kv_rig_state copy_state(const struct kv_rig_state *from)
{
	struct kv_rig_state copy = state_create(from->revision);
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, from->rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct row *r = value;

		put_row(&copy, key, r->revision, r->value);
	}
	return copy;
}

void kv_rig_copy(void)
{
	g_clear_pointer(&rig.copy.rows, g_hash_table_destroy);
	rig.copy = copy_state(&rig.state);
}

void kv_rig_restore(void)
{
	g_hash_table_destroy(rig.state.rows);
	rig.state = copy_state(&rig.copy);
	rig.era++;
}

/*
 * The test's codec: a line "at cursor age partial [known [more]]", then lines
 * "key revision [value]", where the value "-" marks a deletion.
 */

static char *range_url(const char *base, const char *page)
{
	return g_strdup_printf("%s/store?after=0%s", base,
			       page ? "&page=2" : "");
}

static char *watch_url(const char *base, uint64_t revision, unsigned wait_ms)
{
	(void)wait_ms;
	return g_strdup_printf("%s/store?after=%" G_GUINT64_FORMAT, base,
			       revision);
}

static char *key_url(const char *base, const char *key)
{
	return g_strdup_printf("%s/store?key=%s", base, key);
}

static char *feed_range_url(const char *base, uint64_t since)
{
	return g_strdup_printf("%s/feed?since=%" G_GUINT64_FORMAT, base, since);
}

static char *feed_watch_url(const char *base, uint64_t cursor, unsigned wait_ms)
{
	return g_strdup_printf("%s/feed?after=%" G_GUINT64_FORMAT "&waitMs=%u",
			       base, cursor, wait_ms);
}

static bool read_lines(struct str body, uint64_t era, struct kv_answer *answer,
		       kv_begin_fn begin, kv_item_fn take, void *ctx)
{
	char *text = str_dup(body);
	char **lines = g_strsplit(text, "\n", -1);
	int partial = 0, more = 0;
	unsigned i;
	bool ok = sscanf(lines[0] ? lines[0] : "",
			 "%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
			 " %" G_GUINT64_FORMAT " %d %" G_GINT64_FORMAT " %d",
			 &answer->at, &answer->cursor, &answer->age_us,
			 &partial, &answer->known_us, &more) >= 4;

	answer->at = kv_stamp(era, answer->at);
	answer->partial = partial;
	answer->more = more;
	if (ok && begin && !begin(ctx, answer))
		goto out;
	for (i = 1; ok && lines[i] && *lines[i]; i++) {
		char **words = g_strsplit(lines[i], " ", 3);
		struct kv_item item = {
			.key = words[0],
			.revision = kv_stamp(era, g_ascii_strtoull(words[1],
								   NULL, 10)),
		};

		item.deleted = words[2] && !strcmp(words[2], "-");
		if (words[2] && !item.deleted)
			item.value = str_from_c(words[2]);
		take(ctx, &item);
		g_strfreev(words);
	}
out:
	g_strfreev(lines);
	g_free(text);
	return ok;
}

static void write_lines(GString *out, const struct kv_answer *answer,
			const struct kv_item *items, unsigned n)
{
	unsigned i;

	g_string_append_printf(
		out,
		"%" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
		" %d %" G_GINT64_FORMAT "\n",
		answer->at, answer->cursor, answer->age_us, answer->partial,
		rig.claims_future ? INT64_MAX : answer->known_us);
	for (i = 0; i < n; i++) {
		g_string_append_printf(out, "%s %" G_GUINT64_FORMAT,
				       items[i].key, items[i].revision);
		if (items[i].deleted)
			g_string_append(out, " -");
		else if (items[i].value.data)
			g_string_append_printf(out, " %.*s",
					       (int)items[i].value.len,
					       items[i].value.data);
		g_string_append_c(out, '\n');
	}
}

const struct kv_codec kv_rig_codec = {
	.range_url = range_url,
	.watch_url = watch_url,
	.key_url = key_url,
	.feed_range_url = feed_range_url,
	.feed_watch_url = feed_watch_url,
	.read = read_lines,
	.write = write_lines,
	.era_header = "Store-Era",
	.history_gone_status = 410,
	.not_found = 404,
	.expiring_prefix = "servers/",
};

struct late {
	struct ready_request *wait;
	char *answer;
	uv_timer_t timer;
};

static void on_late_closed(uv_handle_t *timer)
{
	struct late *l = timer->data;

	g_free(l->answer);
	g_free(l);
}

static void answer_call(struct ready_request *wait, int status, struct str body)
{
	char *era = g_strdup_printf("%" G_GUINT64_FORMAT, rig.era);

	ready_add_header(wait, "Store-Era", era);
	ready_answer(wait, status, body);
	g_free(era);
}

static void on_late(uv_timer_t *timer)
{
	struct late *l = timer->data;

	ready_on_disconnect(l->wait, NULL, NULL);
	answer_call(l->wait, 200, str_from_c(l->answer));
	uv_close((uv_handle_t *)timer, on_late_closed);
}

static void on_late_disconnect(void *ctx)
{
	struct late *l = ctx;

	uv_close((uv_handle_t *)&l->timer, on_late_closed);
}

static void answer_late(struct ready_request *wait, const char *text)
{
	struct late *l = g_new0(struct late, 1);

	l->wait = wait;
	l->answer = g_strdup(text);
	uv_timer_init(&rig.loop, &l->timer);
	l->timer.data = l;
	uv_timer_start(&l->timer, on_late, KV_RIG_LATE_MS, 0);
	ready_on_disconnect(wait, on_late_disconnect, l);
}

/*
 * The rows that changed after a revision, without deleted ones for 0; `only`:
 * restricts them to one key unless NULL.
 */
static GString *rows_after(uint64_t after, const char *only, bool more)
{
	GString *out = g_string_new(NULL);
	GHashTableIter iter;
	gpointer key, value;

	g_string_append_printf(out,
			       "%" G_GUINT64_FORMAT " 0 0 0 %" G_GINT64_FORMAT
			       " %d\n",
			       rig.state.revision, INT64_MIN, more);
	g_hash_table_iter_init(&iter, rig.state.rows);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct row *r = value;

		if (only && strcmp(key, only))
			continue;
		if (r->revision > after && (r->value || after))
			g_string_append_printf(out,
					       "%s %" G_GUINT64_FORMAT " %s\n",
					       (char *)key, r->revision,
					       r->value ? r->value : "-");
	}
	return out;
}

static void on_ignored_disconnect(void *wait)
{
	g_queue_remove(&rig.ignored_calls, wait);
}

static void ignore_call(struct ready_request *wait)
{
	g_queue_push_tail(&rig.ignored_calls, wait);
	ready_on_disconnect(wait, on_ignored_disconnect, wait);
}

static bool is_ignored(const struct proxy *p)
{
	return p->store == KV_RIG_SILENT ||
	       (p->store == KV_RIG_EVERY_THIRD && p->store_calls % 3);
}

/* A watch is answered at once, also if nothing has changed. */
static void ask_store(struct proxy *p, struct str query,
		      struct ready_request *wait)
{
	char *text = str_dup(query);
	const char *key =
		g_str_has_prefix(text, "key=") ? text + strlen("key=") : NULL;
	bool is_first = p->is_paged && !strstr(text, "page=");
	uint64_t after = 0;
	GString *out;

	rig.calls++;
	p->store_calls++;
	p->key_calls += key != NULL;
	sscanf(text, "after=%" G_GUINT64_FORMAT, &after);
	if (is_ignored(p)) {
		ignore_call(wait);
		g_free(text);
		return;
	}
	if (rig.store_down || p->store == KV_RIG_REFUSES ||
	    (!after && rig.fail_ranges)) {
		rig.fail_ranges -= !rig.store_down && rig.fail_ranges;
		answer_call(wait, 503, STR(""));
		g_free(text);
		return;
	}
	if (after > rig.state.revision) {
		answer_call(wait, 410, STR(""));
		g_free(text);
		return;
	}
	is_first = is_first && !after;
	out = rows_after(after, is_first ? "op/config" : key, is_first);
	g_free(text);
	if (p->store == KV_RIG_TRUNCATED)
		g_string_truncate(out, 1);
	if (p->store == KV_RIG_LATE)
		answer_late(wait, out->str);
	else
		answer_call(wait, 200, str_from_gstring(out));
	g_string_free(out, TRUE);
	if (rig.restore_after_page && is_first) {
		rig.restore_after_page = false;
		kv_rig_restore();
	}
}

static void ask_store_by_watcher(void *ctx, struct str query,
				 struct ready_request *wait)
{
	(void)ctx;
	ask_store(&rig.watcher, query, wait);
}

static void ask_store_by_follower(void *ctx, struct str query,
				  struct ready_request *wait)
{
	(void)ctx;
	ask_store(&rig.follower, query, wait);
}

static void ask_feed(void *ctx, struct str query, struct ready_request *wait)
{
	struct proxy *p = ctx;

	if (p->ignores_requests)
		g_queue_push_tail(&p->ignored_requests, wait);
	else
		kv_feed_handle_request(p->feed, query, wait);
}

static bool never_ready(void *ctx)
{
	(void)ctx;
	return false;
}

static void on_set(void *ctx, const char *key, uint64_t revision,
		   struct str value)
{
	struct proxy *p = ctx;

	g_hash_table_replace(p->values, g_strdup(key), str_dup(value));
	if (p->feed != rig.stale_feed)
		kv_feed_set(p->feed, key, revision, value);
}

static void on_gone(void *ctx, const char *key, uint64_t revision)
{
	struct proxy *p = ctx;

	p->n_gone++;
	g_hash_table_remove(p->values, key);
	if (p->feed != rig.stale_feed)
		kv_feed_delete(p->feed, key, revision);
}

static void on_settled(void *ctx, uint64_t at)
{
	struct proxy *p = ctx;

	p->n_settled++;
	if (p->feed != rig.stale_feed)
		kv_feed_commit(p->feed, at);
}

static uint64_t now_us(void)
{
	return uv_now(&rig.loop) * USEC_PER_MSEC;
}

static void on_source(void *ctx, bool reads_all, struct kv_source *out)
{
	struct proxy *p = ctx;
	struct feed_plan plan;

	if (p->source_choice) {
		plan = feed_source_plan(p->source_choice, reads_all, now_us());
		*out = (struct kv_source){ plan.proxy ? rig.watcher.url : NULL,
					   plan.wait_ms, plan.repeat_ms,
					   plan.timeout_us,
					   plan.total_timeout_us };
		return;
	}
	*out = (struct kv_source){ p->ask_store_once ? NULL : p->source_url,
				   WAIT_MS, 0, TIMEOUT_US, TIMEOUT_US };
	p->ask_store_once = false;
}

static void on_heard(void *ctx, bool answers, uint64_t took_us)
{
	struct proxy *p = ctx;

	(void)took_us;
	p->n_store_results++;
	p->n_store_failed += !answers;
	if (p->source_choice)
		feed_source_on_store(p->source_choice, answers, now_us());
	if (p->feed != rig.stale_feed && answers)
		kv_feed_store_answered(p->feed, 0);
}

static bool on_fed(void *ctx, bool answered, uint64_t age_us)
{
	struct proxy *p = ctx;

	p->n_feed_answered += answered;
	p->n_feed_failed += !answered;
	p->age_us = age_us;
	if (p->source_choice)
		return feed_source_on_answer(p->source_choice, "p0", answered,
					     age_us, now_us());
	if (!answered)
		p->source_url = NULL;
	return answered;
}

static void on_refused(void *ctx, long status, size_t len)
{
	struct proxy *p = ctx;

	(void)status;
	(void)len;
	p->n_malformed++;
}

static void on_era(void *ctx, uint64_t era, bool returned)
{
	struct proxy *p = ctx;

	ck_assert(returned == (p->era != 0));
	ck_assert_uint_gt(era, p->era);
	p->era = era;
}

static void on_forgotten(void *ctx, const char *key)
{
	struct proxy *p = ctx;

	(void)key;
	p->n_forgotten++;
}

static void on_left_aside(void *ctx, const char *key, uint64_t revision,
			  uint64_t known)
{
	struct proxy *p = ctx;

	(void)key;
	ck_assert_uint_lt(revision, known);
	p->n_left_aside++;
}

static void on_known(void *ctx, uint64_t known_at_us)
{
	struct proxy *p = ctx;

	ck_assert_uint_le(known_at_us, clock_boot_us());
	p->known_at_us = MAX(p->known_at_us, known_at_us);
	kv_feed_known_as_of(p->feed, known_at_us);
}

static void on_missing(void *ctx)
{
	struct proxy *p = ctx;

	p->ask_store_once = true;
	p->n_missing++;
	if (p->source_choice)
		feed_source_on_value_missing(p->source_choice);
}

static void on_first_page(void *ctx)
{
	struct proxy *p = ctx;

	if (p->learns_watcher)
		p->source_url = rig.watcher.url;
	p->learns_watcher = false;
}

static const struct kv_events events = {
	.set = on_set,
	.gone = on_gone,
	.settled = on_settled,
	.first_page = on_first_page,
	.source = on_source,
	.store_call_ended = on_heard,
	.fed = on_fed,
	.era = on_era,
	.forgotten = on_forgotten,
	.left_aside = on_left_aside,
	.refused = on_refused,
	.missing = on_missing,
	.known = on_known,
};

static struct ready *listen_on(void *ctx, const struct ready_page *pages,
			       unsigned n_pages, char **url)
{
	struct ready_settings settings = { .address = "127.0.0.1:0",
					   .path = "/ready",
					   .is_ready = never_ready,
					   .pages = pages,
					   .n_pages = n_pages,
					   .ctx = ctx };
	struct err err = { 0 };
	struct ready *r = ready_create(&rig.loop, &settings, &err);

	ck_assert_msg(r != NULL, "%s", err.message);
	*url = g_strdup_printf("http://127.0.0.1:%u", ready_port(r));
	return r;
}

/* Proxy p0 is the watcher; the other proxies of the list don't exist. */
static struct feed_source *create_source(const char *name, unsigned n_proxies)
{
	struct relay_server_info *infos =
		g_new0(struct relay_server_info, n_proxies);
	struct feed_source *f = feed_source_create(name, "hall-a");
	unsigned i;

	for (i = 0; i < n_proxies; i++) {
		infos[i].id = g_strdup_printf("p%u", i);
		infos[i].host = "127.0.0.1";
		infos[i].zone = "hall-a";
		infos[i].feed_port = i ? 0 : 1;
		infos[i].capacity.mbps = i ? 10 : 200;
	}
	feed_source_on_proxies(f, infos, n_proxies);
	for (i = 0; i < n_proxies; i++)
		g_free((char *)infos[i].id);
	g_free(infos);
	return f;
}

static void start_proxy(struct proxy *p, const char *store,
			const char *source_url)
{
	static const struct ready_page page = { "/feed", "text/plain", NULL,
						ask_feed };

	p->values =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->feed = kv_feed_create(&rig.loop, &kv_rig_codec);
	p->port = listen_on(p, &page, 1, &p->url);
	p->source_url = source_url;
	p->store_url = g_strconcat(rig.url, store, NULL);
	p->follow = kv_follow_create(&rig.loop, rig.http, p->store_url,
				     &kv_rig_codec, &events, p);
}

static bool watcher_settled(void *ctx)
{
	(void)ctx;
	return rig.watcher.n_settled > 0;
}

static void start_store(void)
{
	static const struct ready_page pages[] = {
		{ "/w/store", "text/plain", NULL, ask_store_by_watcher },
		{ "/f/store", "text/plain", NULL, ask_store_by_follower },
	};
	struct err err = { 0 };

	memset(&rig, 0, sizeof(rig));
	uv_loop_init(&rig.loop);
	rig.state = state_create(0);
	rig.era = 1;
	rig.http = http_create(&rig.loop, &err);
	rig.port = listen_on(NULL, pages, G_N_ELEMENTS(pages), &rig.url);
	kv_rig_put("op/config", "one");
	kv_rig_put("servers/a", "up");
	kv_rig_put("servers/b", "up");
}

static void start_proxies(void)
{
	start_proxy(&rig.watcher, "/w", NULL);
	loop_until(&rig.loop, watcher_settled, NULL);
	start_proxy(&rig.follower, "/f", rig.watcher.url);
}

void kv_rig_start(void)
{
	start_store();
	start_proxies();
}

void kv_rig_start_together(enum kv_rig_mode mode)
{
	start_store();
	rig.watcher.store = mode;
	rig.follower.is_paged = rig.follower.learns_watcher = true;
	start_proxy(&rig.watcher, "/w", NULL);
	start_proxy(&rig.follower, "/f", NULL);
}

void kv_rig_start_fleet(unsigned n_proxies)
{
	start_store();
	rig.watcher.source_choice = create_source("p0", n_proxies);
	rig.follower.source_choice = create_source("p1", n_proxies);
	start_proxies();
}

void kv_rig_store(enum kv_rig_mode mode)
{
	rig.watcher.store = rig.follower.store = mode;
}

static void refuse_all(GQueue *waits)
{
	struct ready_request *wait;

	while ((wait = g_queue_pop_head(waits))) {
		ready_on_disconnect(wait, NULL, NULL);
		ready_answer(wait, 503, STR(""));
	}
}

static void end_proxy(struct proxy *p)
{
	kv_feed_destroy(p->feed);
	refuse_all(&p->ignored_requests);
	ready_destroy(p->port);
	feed_source_destroy(p->source_choice);
	g_hash_table_destroy(p->values);
	g_free(p->store_url);
	g_free(p->url);
}

void kv_rig_end(void)
{
	http_destroy(rig.http);
	/*
	 * Closing a port runs the loop, so no follower may send calls by then.
	 */
	kv_follow_destroy(rig.follower.follow);
	kv_follow_destroy(rig.watcher.follow);
	refuse_all(&rig.ignored_calls);
	end_proxy(&rig.follower);
	end_proxy(&rig.watcher);
	ready_destroy(rig.port);
	loop_end(&rig.loop);
	g_hash_table_destroy(rig.state.rows);
	g_clear_pointer(&rig.copy.rows, g_hash_table_destroy);
	g_free(rig.url);
}

struct expected {
	const char *key;
	const char *value; /* NULL: the key must be absent */
};

static bool follower_has(void *ctx)
{
	const struct expected *e = ctx;

	return !g_strcmp0(g_hash_table_lookup(rig.follower.values, e->key),
			  e->value);
}

void kv_rig_expect(const char *key, const char *value)
{
	struct expected e = { key, value };

	loop_until(&rig.loop, follower_has, &e);
}
