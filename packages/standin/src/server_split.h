#ifndef STANDIN_SERVER_SPLIT_H
#define STANDIN_SERVER_SPLIT_H

/*
 * Splits a text of several SQL statements and tells a statement's kind by its
 * first words. Not a parser: what it doesn't know goes to SQLite as it is.
 */

#include <stdbool.h>
#include <stddef.h>

enum sql_kind {
	KIND_EMPTY,
	KIND_BEGIN,
	KIND_COMMIT,
	KIND_ROLLBACK,
	KIND_SET,
	KIND_SHOW,
	KIND_DISCARD,
	KIND_DEALLOCATE,
	KIND_READ,
	KIND_WRITE,
	KIND_PULL,
	KIND_REFUSED,
};

char *split_next(const char **at);
enum sql_kind split_kind(const char *text);
const char *split_tag(const char *text);
bool split_is_schema(const char *text);
void split_schema_tag(const char *text, char *tag, size_t size);
bool split_has_word(const char *text, const char *word);

#endif
