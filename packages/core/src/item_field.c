#include "item_field.h"

#include <celeryquay/core/types.h>
#include <string.h>

static bool is_name_char(char c)
{
	return g_ascii_isalnum(c) || c == '-' || c == '_' || c == '.';
}

/*
 * Whether a name has 1 to max characters, all allowed in keys, and does not
 * begin with a dot.
 */
bool item_name_ok(const char *name, size_t max)
{
	size_t len = strlen(name);
	size_t i;

	if (!len || len > max || name[0] == '.')
		return false;
	for (i = 0; i < len; i++) {
		if (!is_name_char(name[i]))
			return false;
	}
	return true;
}

/* Reads a name that fits keys and messages; empty only if the fallback is. */
bool field_name(struct settings *s, const char *key, const char *fallback,
		size_t max, char **out, struct err *err)
{
	if (!settings_str(s, key, fallback, out, err))
		return false;
	if (!(*out)[0] && fallback && !fallback[0])
		return true;
	if (!item_name_ok(*out, max))
		return settings_fail(s, key, err,
				     "must have 1 to %zu of a-z A-Z 0-9 - _ .",
				     max);
	return true;
}

/* Reads a text of 1 to ITEM_MAX_TEXT bytes; the caller frees *out. */
bool field_text(struct settings *s, const char *key, const char *fallback,
		char **out, struct err *err)
{
	size_t len;

	if (!settings_str(s, key, fallback, out, err))
		return false;
	len = strlen(*out);
	if (!len || len > ITEM_MAX_TEXT)
		return settings_fail(s, key, err,
				     "must have 1 to %d characters",
				     ITEM_MAX_TEXT);
	return true;
}

/* Reads a whole number from min to max. */
bool field_count(struct settings *s, const char *key, int64_t min, int64_t max,
		 int64_t fallback, unsigned *out, struct err *err)
{
	int64_t value;

	if (!settings_int(s, key, min, max, fallback, &value, err))
		return false;
	*out = (unsigned)value;
	return true;
}

/* Reads min to max milliseconds, converted to microseconds. */
bool field_ms(struct settings *s, const char *key, int64_t min, int64_t max,
	      int64_t fallback, uint64_t *out_us, struct err *err)
{
	int64_t value;

	if (!settings_int(s, key, min, max, fallback, &value, err))
		return false;
	*out_us = (uint64_t)value * USEC_PER_MSEC;
	return true;
}

/* Reads one of two words; *out tells whether it is the second. */
bool field_choice(struct settings *s, const char *key, const char *fallback,
		  const char *first, const char *second, bool *out,
		  struct err *err)
{
	char *word = NULL;
	bool ok = settings_str(s, key, fallback, &word, err);

	if (!ok)
		return false;
	*out = !strcmp(word, second);
	if (!*out && strcmp(word, first) != 0)
		ok = settings_fail(s, key, err, "must be \"%s\" or \"%s\"",
				   first, second);
	g_free(word);
	return ok;
}

/* Reads a port, which is required. */
bool field_port(struct settings *s, const char *key, uint16_t *out,
		struct err *err)
{
	int64_t value;

	if (!settings_int(s, key, 1, UINT16_MAX, SETTINGS_REQUIRED_INT, &value,
			  err))
		return false;
	*out = (uint16_t)value;
	return true;
}
