#ifndef CELERYQUAY_HARNESS_CHILD_H
#define CELERYQUAY_HARNESS_CHILD_H

/*
 * A child process of a test, a bench or the demo. Its ready line is parsed, and
 * it is killed when its parent ends.
 */

#include <celeryquay/base/err.h>
#include <json-glib/json-glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

struct child;

/*
 * program: a file name in the directory $CQ_BIN. args: NULL-terminated, without
 * the program's name.
 */
struct child *child_start(const char *program, const char *const *args,
			  struct err *err);
struct child *child_start_no_wait(const char *program, const char *const *args,
				  struct err *err);
/*
 * Stops the process with SIGTERM, and with SIGKILL if it still runs after 15 s;
 * frees `c`.
 */
void child_destroy(struct child *c);
void child_signal(const struct child *c, int number);
/* Waits for the end; the exit status, or minus the signal's number. */
int child_wait(struct child *c);
/* Pauses or resumes reading its standard output; initially it is read. */
void child_set_log_paused(struct child *c, bool paused);
pid_t child_pid(const struct child *c);
int64_t child_ready_int(const struct child *c, const char *key);
JsonObject *child_ready(const struct child *c);
/* Whether the process still runs. */
bool child_alive(struct child *c);

#endif
