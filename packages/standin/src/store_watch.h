/*
 * The store's watches: each is one answer that is streamed, a JSON object a
 * line, from the table's log of events.
 */
#ifndef STANDIN_STORE_WATCH_H
#define STANDIN_STORE_WATCH_H

#include "control_http.h"
#include "store_json.h"

struct store_watches;

struct store_watches *store_watches_create(struct store_table *table,
					   struct control_http *http,
					   uint64_t progress_us);
void store_watches_destroy(struct store_watches *watches);

bool store_watch_open(struct store_watches *watches, h2o_req_t *req,
		      JsonObject *body, uint64_t now_us,
		      struct store_error *error);
void store_watches_pump(struct store_watches *watches, uint64_t now_us);
void store_watches_reap(struct store_watches *watches);
void store_watches_close_all(struct store_watches *watches);
void store_watches_set_delay(struct store_watches *watches, uint64_t delay_us);
unsigned store_watches_silence(struct store_watches *watches);
void store_watches_replay(struct store_watches *watches, uint64_t events);

guint store_watches_count(const struct store_watches *watches);
uint64_t store_watches_ended(const struct store_watches *watches);
uint64_t store_watches_waited_us(const struct store_watches *watches,
				 uint64_t now_us);
void store_watches_reset_waited(struct store_watches *watches, uint64_t now_us);

#endif
