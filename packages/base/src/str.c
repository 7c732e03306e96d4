#include <celeryquay/base/str.h>

#include <string.h>

/* A view of a NUL-terminated string; NULL gives the empty string. */
struct str str_from_c(const char *s)
{
	return (struct str){ .data = s ? s : "", .len = s ? strlen(s) : 0 };
}

/* A view of a GString's text; invalid once the GString changes. */
struct str str_from_gstring(const GString *s)
{
	return (struct str){ .data = s->str, .len = s->len };
}

/* A view of the bytes; valid while the caller holds its reference. */
struct str str_from_bytes(GBytes *b)
{
	struct str s;

	s.data = g_bytes_get_data(b, &s.len);
	if (!s.data)
		s.data = "";
	return s;
}

/* Whether two strings hold the same bytes. */
bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && !memcmp(a.data, b.data, a.len);
}

/* Compares bytewise like strcmp(); a prefix sorts first. */
int str_cmp(struct str a, struct str b)
{
	size_t common = MIN(a.len, b.len);
	int order = memcmp(a.data, b.data, common);

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

/* Whether s begins with the prefix. */
bool str_starts_with(struct str s, struct str prefix)
{
	return s.len >= prefix.len && !memcmp(s.data, prefix.data, prefix.len);
}

/* Copies to a new NUL-terminated string, freed with g_free(). */
char *str_dup(struct str s)
{
	return g_strndup(s.data, s.len);
}

/* Joins both with a separator byte, as a new NUL-terminated string. */
char *str_join(struct str a, char separator, struct str b)
{
	char *out = g_malloc(a.len + b.len + 2);
	char *at = out;

	if (a.len)
		memcpy(at, a.data, a.len);
	at += a.len;
	*at++ = separator;
	if (b.len)
		memcpy(at, b.data, b.len);
	at[b.len] = '\0';
	return out;
}

/*
 * Parses a decimal number without sign or spaces. Returns false and leaves *out
 * unchanged for an empty string, a byte that is not a digit, or a value that
 * does not fit in 64 bits.
 */
bool str_to_u64(struct str s, uint64_t *out)
{
	uint64_t value = 0;
	size_t i;

	if (!s.len)
		return false;
	for (i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.data[i] - (unsigned)'0';

		if (digit > 9 || value > (UINT64_MAX - digit) / 10)
			return false;
		value = value * 10 + digit;
	}
	*out = value;
	return true;
}

/* Writes the number in decimal with a NUL; returns the length without it. */
size_t str_put_u64(char out[STR_U64_SIZE], uint64_t value)
{
	char digits[STR_U64_SIZE];
	char *at = digits + sizeof(digits);
	size_t len;

	*--at = '\0';
	do {
		*--at = (char)('0' + value % 10);
		value /= 10;
	} while (value);
	len = (size_t)(digits + sizeof(digits) - 1 - at);
	memcpy(out, at, len + 1);
	return len;
}

/* Without a space the whole rest is the word. */
struct str str_split_first_word(struct str *rest)
{
	struct str word = *rest;
	const char *space = memchr(rest->data, ' ', rest->len);

	if (space)
		word.len = (size_t)(space - rest->data);
	rest->data += word.len + (space ? 1 : 0);
	rest->len -= word.len + (space ? 1 : 0);
	return word;
}

/* Appends the bytes unchanged. */
void str_append(GString *out, struct str s)
{
	g_string_append_len(out, s.data, (gssize)s.len);
}

/* Appends the number in decimal. */
void str_append_u64(GString *out, uint64_t value)
{
	char digits[STR_U64_SIZE];
	size_t len = str_put_u64(digits, value);

	g_string_append_len(out, digits, (gssize)len);
}
