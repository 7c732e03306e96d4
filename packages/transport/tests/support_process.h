#ifndef CELERYQUAY_TESTS_SUPPORT_PROCESS_H
#define CELERYQUAY_TESTS_SUPPORT_PROCESS_H

/*
 * Child processes of a test: starts a program of the build, waits for its
 * ready line (one JSON object on standard output), sends requests to its
 * control port and ends it. A child that doesn't start fails the test.
 */

#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <sys/types.h>

struct child;

/*
 * argv is NULL-terminated; argv[0] is the name of a program in $CQ_BIN. The
 * child's standard error is appended to log_path (NULL: dropped). Its standard
 * input is a pipe that closes when the test ends, so that a program started
 * with --exit-with-stdin exits then.
 */
struct child *child_start(const char *const *argv, const char *log_path);
pid_t child_pid(const struct child *c);
JsonObject *child_ready(const struct child *c);
unsigned child_port(const struct child *c, const char *member);

/*
 * Sends SIGTERM and waits; returns the exit status (-1: killed by a signal, 0
 * if the child is NULL).
 */
int child_stop(struct child *c);
/* Sends SIGKILL and waits. */
void child_kill(struct child *c);
void child_pause(struct child *c);
void child_resume(struct child *c);

/*
 * Sends one request to the child's control port, a POST if there is a body.
 * Returns the JSON object of the answer, to be freed with json_object_unref().
 */
JsonObject *child_control(const struct child *c, const char *path,
			  const char *body);

#endif
