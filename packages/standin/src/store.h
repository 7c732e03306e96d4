/*
 * The store stand-in as a whole: its data behind an HTTP listener that can
 * be told to fail, and the control port that tells it.
 */
#ifndef STANDIN_STORE_H
#define STANDIN_STORE_H

#include "store_kv.h"
#include "store_watch.h"

enum store_outage {
	OUTAGE_NONE,
	OUTAGE_UNAVAILABLE, /* every call is answered with 503 */
	OUTAGE_REFUSE, /* connections are reset */
	OUTAGE_HANG, /* connections stay open, nothing is answered */
};

struct store_faults {
	enum store_outage outage;
	uint64_t slow_us;
	int64_t lose_count;
	char *lose_path; /* NULL: any */
};

struct store {
	uv_loop_t *loop;
	uv_timer_t timer;
	unsigned ticks;
	struct store_kv kv;
	struct store_watches *watches;
	struct control_http *http;
	struct control_http *control;
	struct store_faults faults;
	uint64_t era; /* rises when the store comes back older */
	GQueue held; /* requests that are not answered yet */
	GHashTable *calls; /* path -> uint64_t */
	uint64_t reset_us;
};

struct store *store_create(uv_loop_t *loop, uint64_t progress_us);
void store_destroy(struct store *store);
bool store_load(struct store *store, const char *path, GError **error);

bool store_on_request(void *data, h2o_req_t *req);
void store_front_tick(struct store *store);
void store_front_drop_all(struct store *store);
void store_restore(struct store *store, int64_t revision);
void store_set_outage(struct store *store, enum store_outage outage);
uint64_t store_now_us(void);

extern const struct control_route store_control_routes[];
extern const size_t store_control_route_count;

#endif
