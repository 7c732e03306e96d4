#ifndef CELERYQUAY_CORE_ITEM_FIELD_H
#define CELERYQUAY_CORE_ITEM_FIELD_H

/*
 * Readers of the typed fields of configuration items: names that fit keys and
 * messages, durations, ports, choices of two words.
 */

#include <celeryquay/base/settings.h>

/* Bounds a name so that service/database fits struct session_entry. */
#define ITEM_MAX_NAME 47
/* Bounds data centres and regions, which must fit struct member_info. */
#define ITEM_MAX_LOCATION 31
/* Bounds other texts, in bytes. */
#define ITEM_MAX_TEXT 255

bool item_name_ok(const char *name, size_t max);
bool field_name(struct settings *s, const char *key, const char *fallback,
		size_t max, char **out, struct err *err);
bool field_text(struct settings *s, const char *key, const char *fallback,
		char **out, struct err *err);
bool field_count(struct settings *s, const char *key, int64_t min, int64_t max,
		 int64_t fallback, unsigned *out, struct err *err);
bool field_ms(struct settings *s, const char *key, int64_t min, int64_t max,
	      int64_t fallback, uint64_t *out_us, struct err *err);
bool field_choice(struct settings *s, const char *key, const char *fallback,
		  const char *first, const char *second, bool *out,
		  struct err *err);
bool field_port(struct settings *s, const char *key, uint16_t *out,
		struct err *err);

#endif
