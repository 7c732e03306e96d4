#include "group_sql.h"

#include <string.h>

/* The bit in which an ASCII letter's lower and upper case differ. */
#define CASE_BIT 0x20

/* First words of statements that control a transaction. */
static const char *const transaction_keywords[] = {
	"BEGIN", "COMMIT",    "ROLLBACK", "END", "ABORT",
	"START", "SAVEPOINT", "RELEASE",  NULL,
};

/* First words of statements that normally leave no session state. */
static const char *const stateless_keywords[] = {
	"SELECT", "INSERT", "UPDATE", "DELETE", "WITH",
	"VALUES", "TABLE",  "MERGE",  NULL,
};

/* Those of them that change rows; there INTO names the table of the rows. */
static const char *const row_change_keywords[] = {
	"INSERT", "UPDATE", "DELETE", "MERGE", NULL,
};

/* Functions and names, anywhere in a statement, whose effect outlasts it. */
static const char *const state_patterns[] = {
	"set_config", "advisory", "pg_settings", "dblink", "setseed", NULL,
};

/* A query with this word may create a temporary table. */
static const char *const temp_table_patterns[] = { "into", NULL };

/* Words that a SET must not have: it could make a read-only block writable. */
static const char *const transaction_mode_patterns[] = { "transaction",
							 "characteristics",
							 NULL };

/* Returns the index of the end of the line. */
static size_t skip_line(struct str s, size_t i)
{
	while (i < s.len && s.data[i] != '\n' && s.data[i] != '\r')
		i++;
	return i;
}

/* Skips a block comment with those nested in it; an open one skips the rest. */
static size_t skip_block(struct str s, size_t i)
{
	unsigned depth = 0;

	while (i + 1 < s.len) {
		if (s.data[i] == '/' && s.data[i + 1] == '*') {
			depth++;
			i += 2;
		} else if (s.data[i] == '*' && s.data[i + 1] == '/') {
			i += 2;
			if (!--depth)
				return i;
		} else {
			i++;
		}
	}
	return s.len;
}

/* Returns the rest after leading blanks, comments and empty statements. */
static struct str skip_blank(struct str s)
{
	size_t i = 0;

	while (i < s.len) {
		char c = s.data[i];
		char next = i + 1 < s.len ? s.data[i + 1] : '\0';

		if (g_ascii_isspace(c) || c == '\v' || c == ';')
			i++;
		else if (c == '-' && next == '-')
			i = skip_line(s, i);
		else if (c == '/' && next == '*')
			i = skip_block(s, i);
		else
			break;
	}
	return (struct str){ .data = s.data + i, .len = s.len - i };
}

/* Removes the first word from *s and returns it; empty if there is none. */
static struct str take_word(struct str *s)
{
	struct str word;
	size_t i = 0;

	*s = skip_blank(*s);
	while (i < s->len && (g_ascii_isalnum(s->data[i]) || s->data[i] == '_'))
		i++;
	word = (struct str){ .data = s->data, .len = i };
	s->data += i;
	s->len -= i;
	return word;
}

static bool word_is(struct str word, const char *text)
{
	struct str other = str_from_c(text);

	return word.len == other.len &&
	       !g_ascii_strncasecmp(word.data, other.data, word.len);
}

static bool word_in(struct str word, const char *const *list)
{
	for (; *list; list++) {
		if (word_is(word, *list))
			return true;
	}
	return false;
}

/* Whether s starts with the part, in any case; the part is in lower case. */
static bool starts_with(struct str s, const char *part)
{
	size_t i;

	for (i = 0; part[i]; i++) {
		if (i == s.len || g_ascii_tolower(s.data[i]) != part[i])
			return false;
	}
	return true;
}

/*
 * Whether the text contains one of the parts, in any case. It looks at every
 * byte of every statement, so for speed a comparison of the first letter rules
 * out most places.
 */
static bool contains_any(struct str s, const char *const *list)
{
	const char *const *part;
	bool first_letters[256] = { false };

	for (part = list; *part; part++)
		first_letters[(unsigned char)(**part | CASE_BIT)] = true;
	for (; s.len; s.data++, s.len--) {
		if (!first_letters[(unsigned char)(*s.data | CASE_BIT)])
			continue;
		for (part = list; *part; part++) {
			if (starts_with(s, *part))
				return true;
		}
	}
	return false;
}

/*
 * Guards against a caller's statement that ends the transaction midway: the
 * statements after it would be committed on their own, and a retry would run
 * them twice. The first word is sufficient to recognise it, since the protocol
 * allows only one statement in each step. PREPARE TRANSACTION ends the block
 * too; SET TRANSACTION would make a read-only block writable before its first
 * query. Servers differ in how comments nest, so a text that seems to consist
 * of comments alone is refused too.
 */
bool group_sql_controls_transaction(struct str sql)
{
	struct str rest = skip_blank(sql);
	struct str word;

	if (!rest.len)
		return true;
	word = take_word(&rest);
	if (word_in(word, transaction_keywords))
		return true;
	if (word_is(word, "PREPARE"))
		return word_is(take_word(&rest), "TRANSACTION");
	if (word_is(word, "SET") || word_is(word, "RESET"))
		return contains_any(rest, transaction_mode_patterns);
	return false;
}

/*
 * Guards against session state that one caller leaves to the next on the same
 * connection. SELECT ... INTO TEMP creates a table that hides the permanent
 * table of its name from all later users of the connection; an update of
 * pg_settings has the effect of SET.
 */
bool group_sql_leaves_state(struct str sql)
{
	struct str rest = sql;
	struct str word = take_word(&rest);

	if (!word_in(word, stateless_keywords) ||
	    contains_any(rest, state_patterns))
		return true;
	return !word_in(word, row_change_keywords) &&
	       contains_any(rest, temp_table_patterns);
}
