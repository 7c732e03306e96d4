#include "support_store.h"

#include <check.h>
#include <string.h>

struct store_rig store_rig;

static void record_kv(const struct store_kv *kv)
{
	g_free(store_rig.got.value);
	store_rig.got.value = g_strndup(kv->value.data, kv->value.len);
	store_rig.got.mod_revision = kv->mod_revision;
	g_ptr_array_add(store_rig.got.keys, g_strdup(kv->key));
}

void rig_on_range(void *user, const struct err *err, uint64_t revision,
		  const struct store_kv *kvs, unsigned n)
{
	unsigned i;

	(void)user;
	store_rig.got.done = true;
	store_rig.got.err = *err;
	store_rig.got.revision = revision;
	store_rig.got.n = n;
	for (i = 0; i < n; i++)
		record_kv(&kvs[i]);
}

void rig_on_cas(void *user, const struct err *err, bool took_effect,
		uint64_t revision, const struct store_kv *current)
{
	(void)user;
	store_rig.got.done = true;
	store_rig.got.err = *err;
	store_rig.got.took_effect = took_effect;
	store_rig.got.revision = revision;
	store_rig.got.n = current ? 1 : 0;
	if (current)
		record_kv(current);
}

static bool is_done(void *ctx)
{
	(void)ctx;
	return store_rig.got.done;
}

void store_rig_reset(void)
{
	g_clear_pointer(&store_rig.got.keys, g_ptr_array_unref);
	g_free(store_rig.got.value);
	memset(&store_rig.got, 0, sizeof(store_rig.got));
	store_rig.got.keys = g_ptr_array_new_with_free_func(g_free);
}

static void wait_done(void)
{
	ck_assert(!store_rig.got.done);
	loop_until(&store_rig.loop, is_done, NULL);
}

void rig_get(const char *key)
{
	store_rig_reset();
	store_get(store_rig.store, key, rig_on_range, NULL);
	wait_done();
}

void rig_range(const char *prefix)
{
	store_rig_reset();
	store_range(store_rig.store, prefix, rig_on_range, NULL);
	wait_done();
}

void rig_cas(const char *key, uint64_t expected, const char *value)
{
	struct str view = str_from_c(value);

	store_rig_reset();
	store_cas(store_rig.store, key, expected, value ? &view : NULL,
		  rig_on_cas, NULL);
	wait_done();
}

uint64_t rig_put(const char *key, uint64_t expected, const char *value)
{
	rig_cas(key, expected, value);
	ck_assert_msg(!store_rig.got.err.code, "%s", store_rig.got.err.message);
	ck_assert(store_rig.got.took_effect);
	return store_rig.got.revision;
}

void store_rig_control(const char *path, const char *body)
{
	json_object_unref(child_control(store_rig.server, path, body));
}

void store_rig_open(const char *first, uint64_t timeout_us)
{
	char *url = g_strdup_printf("http://127.0.0.1:%u",
				    child_port(store_rig.server, "http"));
	const char *const both[] = { first, url, NULL };

	store_destroy(store_rig.store);
	store_rig.store = store_create(&store_rig.loop, first ? both : both + 1,
				       timeout_us);
	ck_assert_ptr_nonnull(store_rig.store);
	g_free(url);
}

void store_rig_start_server(const char *load)
{
	const char *argv[] = { "celeryquay-standin-store",
			       "--exit-with-stdin",
			       "--progress-ms",
			       "50",
			       load ? "--load" : NULL,
			       load,
			       NULL };

	store_rig.server = child_start(argv, NULL);
}

void store_rig_setup(void)
{
	store_rig_start_server(NULL);
	uv_loop_init(&store_rig.loop);
	store_rig_open(NULL, TIMEOUT_US);
	store_rig_reset();
}

void store_rig_teardown(void)
{
	store_destroy(store_rig.store);
	store_rig.store = NULL;
	loop_end(&store_rig.loop);
	store_rig_reset();
	g_ptr_array_unref(store_rig.got.keys);
	store_rig.got.keys = NULL;
	child_kill(store_rig.server);
	store_rig.server = NULL;
}
