#ifndef CELERYQUAY_BASE_STR_H
#define CELERYQUAY_BASE_STR_H

/*
 * Strings with an explicit length. struct str is a view: it does not own its
 * bytes and need not end in NUL. GString is used to build strings, GBytes to
 * share them by reference.
 */

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct str {
	const char *data;
	size_t len;
};

/* A view of a string literal. */
#define STR(literal) \
	((struct str){ .data = (literal), .len = sizeof(literal) - 1 })

struct str str_from_c(const char *s);
struct str str_from_gstring(const GString *s);
struct str str_from_bytes(GBytes *b);
bool str_eq(struct str a, struct str b);
int str_cmp(struct str a, struct str b);
bool str_starts_with(struct str s, struct str prefix);
char *str_dup(struct str s);
/* Returns "a<separator>b", NUL-terminated; freed with g_free(). */
char *str_join(struct str a, char separator, struct str b);
/* Size of the longest 64-bit number in decimal with its NUL. */
#define STR_U64_SIZE 21
/* Writes the number in decimal with a NUL; returns the length without it. */
size_t str_put_u64(char out[STR_U64_SIZE], uint64_t value);
bool str_to_u64(struct str s, uint64_t *out);
/* Removes the first word and the space after it from *rest; returns it. */
struct str str_split_first_word(struct str *rest);
void str_append(GString *out, struct str s);
void str_append_u64(GString *out, uint64_t value);

#endif
