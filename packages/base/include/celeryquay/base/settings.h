#ifndef CELERYQUAY_BASE_SETTINGS_H
#define CELERYQUAY_BASE_SETTINGS_H

/*
 * Validating reader of JSON objects: settings files and configuration items.
 * Every error names the source (a file or an item), the key and the reason. A
 * reader records the keys that were requested, so that
 * settings_reject_unknown() can reject unknown ones.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/pace.h>
#include <json-glib/json-glib.h>
#include <math.h>
#include <stdbool.h>
#include <stdint.h>

struct settings;

struct settings *settings_from_file(const char *path, struct err *err);
struct settings *settings_from_data(const char *source, const char *data,
				    size_t len, struct err *err);
/* The same for a large object: pauses by `pace`, which may be NULL. */
struct settings *settings_from_data_paced(const char *source, const char *data,
					  size_t len, struct pace *pace,
					  struct err *err);
struct settings *settings_child(struct settings *parent, const char *key,
				struct err *err);
unsigned settings_list_length(struct settings *s, const char *key);
struct settings *settings_list_child(struct settings *s, const char *key,
				     unsigned index, struct err *err);
/* Calls `handle` with each object of the list, which may be absent. */
bool settings_for_each(struct settings *s, const char *key,
		       bool (*handle)(void *ctx, struct settings *item,
				      struct err *err),
		       void *ctx, struct err *err);
void settings_destroy(struct settings *s);

bool settings_has(struct settings *s, const char *key);
bool settings_str(struct settings *s, const char *key, const char *fallback,
		  char **out, struct err *err);
bool settings_int(struct settings *s, const char *key, int64_t min, int64_t max,
		  int64_t fallback, int64_t *out, struct err *err);
/* A number from 0 to max that may have a fraction. */
bool settings_double(struct settings *s, const char *key, double max,
		     double fallback, double *out, struct err *err);
/* A number from 0 to a million; a fraction is truncated. */
bool settings_uint_truncated(struct settings *s, const char *key,
			     unsigned fallback, unsigned *out, struct err *err);
/* A number from 0 to 1e9 that may have a fraction; required. */
bool settings_nonnegative_double(struct settings *s, const char *key,
				 double *out, struct err *err);
/* A whole number from 0 to a million. */
bool settings_count(struct settings *s, const char *key, int64_t fallback,
		    unsigned *out, struct err *err);
/* Milliseconds up to one day; returned in microseconds. */
bool settings_ms_as_us(struct settings *s, const char *key, int64_t min,
		       int64_t fallback, uint64_t *us, struct err *err);
bool settings_bool(struct settings *s, const char *key, bool fallback,
		   bool *out, struct err *err);
bool settings_str_list(struct settings *s, const char *key, char ***out,
		       struct err *err);
bool settings_fail(struct settings *s, const char *key, struct err *err,
		   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
bool settings_reject_unknown(struct settings *s, struct err *err);

/* Passed as `fallback`: the key is required. */
#define SETTINGS_REQUIRED_INT INT64_MIN
#define SETTINGS_REQUIRED_DOUBLE INFINITY
extern const char *const SETTINGS_REQUIRED_STR;

#endif
