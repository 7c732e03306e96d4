#ifndef CELERYQUAY_HARNESS_CHILD_H
#define CELERYQUAY_HARNESS_CHILD_H

/*
 * A process that a test, a bench or the demo starts: its ready line is read,
 * and it ends with its parent at the latest.
 */

#include <celeryquay/base/err.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct child;

/* program: a name in the folder of $CQ_BIN. args: NULL-ended, without it. */
struct child *child_start(const char *program, const char *const *args,
			  struct err *err);
struct child *child_launch(const char *program, const char *const *args,
			   struct err *err);
/* Ends it by SIGTERM, by SIGKILL when it takes too long; frees. */
void child_destroy(struct child *c);
void child_signal(const struct child *c, int number);
/* Waits for its end; the exit code, or minus the signal's number. */
int child_wait(struct child *c);
/* Stops reading its standard output, or goes on; at first it is read. */
void child_hold_log(struct child *c, bool hold);
pid_t child_pid(const struct child *c);
int64_t child_ready_int(const struct child *c, const char *key);
JsonObject *child_ready(const struct child *c);
/* Whether it has not ended yet. */
bool child_alive(struct child *c);

#endif
