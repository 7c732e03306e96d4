#ifndef STANDIN_SERVER_APPLY_H
#define STANDIN_SERVER_APPLY_H

/*
 * How far the log is applied to the database, and the steps that take it
 * further or back.
 */

#include <stdint.h>

#include "server_log.h"

struct apply;
struct server;

struct apply *apply_create(struct server *srv, const struct slog *log);
void apply_destroy(struct apply *apply);
uint64_t apply_position(const struct apply *apply);
void apply_committed(struct apply *apply);
void apply_to(struct apply *apply, uint64_t position);
uint64_t apply_due(struct apply *apply, uint64_t now_us);
void apply_rebuild(struct apply *apply, uint64_t position);
void apply_jump_back(struct apply *apply, uint64_t position);

#endif
