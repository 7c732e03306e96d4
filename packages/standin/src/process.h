/*
 * What every stand-in process does the same way: logs as JSON lines on
 * stderr, the ready line on stdout, and an orderly end on SIGTERM, SIGINT
 * or, when asked for, the end of stdin.
 */
#ifndef STANDIN_PROCESS_H
#define STANDIN_PROCESS_H

#include <stdbool.h>

#include <json-glib/json-glib.h>
#include <uv.h>

struct process;

struct process *process_create(uv_loop_t *loop, bool exit_with_stdin);
void process_destroy(struct process *process);
void process_run(struct process *process);
void process_print_ready(JsonObject *ready);
void process_log_json(void);

#endif
