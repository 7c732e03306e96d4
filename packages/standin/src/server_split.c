#include "server_split.h"

#include <stddef.h>
#include <string.h>
#include <glib.h>
#include <sqlite3.h>

struct kind_by_word {
	const char *word;
	enum sql_kind kind;
	const char *tag;
};

static const struct kind_by_word kinds[] = {
	{ "SELECT", KIND_READ, NULL },
	{ "VALUES", KIND_READ, NULL },
	{ "INSERT", KIND_WRITE, "INSERT 0" },
	{ "UPDATE", KIND_WRITE, "UPDATE" },
	{ "DELETE", KIND_WRITE, "DELETE" },
	{ "BEGIN", KIND_BEGIN, "BEGIN" },
	{ "START", KIND_BEGIN, "START TRANSACTION" },
	{ "COMMIT", KIND_COMMIT, "COMMIT" },
	{ "END", KIND_COMMIT, "COMMIT" },
	{ "ROLLBACK", KIND_ROLLBACK, "ROLLBACK" },
	{ "ABORT", KIND_ROLLBACK, "ROLLBACK" },
	{ "SET", KIND_SET, "SET" },
	{ "RESET", KIND_SET, "RESET" },
	{ "SHOW", KIND_SHOW, "SHOW" },
	{ "DISCARD", KIND_DISCARD, "DISCARD ALL" },
	{ "DEALLOCATE", KIND_DEALLOCATE, "DEALLOCATE" },
	{ "CREATE", KIND_WRITE, "CREATE" },
	{ "DROP", KIND_WRITE, "DROP" },
	{ "ALTER", KIND_WRITE, "ALTER" },
	{ "PRAGMA", KIND_REFUSED, NULL },
	{ "ATTACH", KIND_REFUSED, NULL },
	{ "DETACH", KIND_REFUSED, NULL },
	{ "VACUUM", KIND_REFUSED, NULL },
	{ "ANALYZE", KIND_REFUSED, NULL },
	{ "REINDEX", KIND_REFUSED, NULL },
	{ "SAVEPOINT", KIND_REFUSED, NULL },
	{ "RELEASE", KIND_REFUSED, NULL },
};

static const char pull_start[] = "SELECT * FROM cq_pull(";

/* Skips a quoted part, a comment, or one character. */
static const char *skip_token(const char *at)
{
	const char *end;
	char quote;

	if (at[0] == '-' && at[1] == '-') {
		end = strchr(at, '\n');
		return end ? end + 1 : at + strlen(at);
	}
	if (at[0] == '/' && at[1] == '*') {
		end = strstr(at + 2, "*/");
		return end ? end + 2 : at + strlen(at);
	}
	if (at[0] != '\'' && at[0] != '"')
		return at + 1;
	quote = *at;
	end = strchr(at + 1, quote);
	return end ? end + 1 : at + strlen(at);
}

/* Skips blanks and comments. */
static const char *skip_blank(const char *at)
{
	for (;;) {
		if (g_ascii_isspace(*at))
			at++;
		else if ((at[0] == '-' && at[1] == '-') ||
			 (at[0] == '/' && at[1] == '*'))
			at = skip_token(at);
		else
			return at;
	}
}

/* Whether the text so far is a whole statement; a trigger has inner ones. */
static bool is_whole(const char *start, const char *semicolon)
{
	char *text;
	int whole;

	if (g_ascii_strncasecmp(start, "CREATE", strlen("CREATE")))
		return true;
	text = g_strndup(start, (gsize)(semicolon + 1 - start));
	whole = sqlite3_complete(text);
	g_free(text);
	return whole;
}

/*
 * Takes the next statement off the text, without its semicolon and the blanks
 * around it. NULL at the end. The caller frees the result.
 */
char *split_next(const char **at)
{
	const char *start, *end;

	start = skip_blank(*at);
	while (*start == ';')
		start = skip_blank(start + 1);
	if (!*start) {
		*at = start;
		return NULL;
	}
	end = start;
	while (*end && (*end != ';' || !is_whole(start, end)))
		end = skip_token(end);
	*at = *end ? end + 1 : end;
	return g_strchomp(g_strndup(start, (gsize)(end - start)));
}

/* The table's row for the statement's first word, or NULL. */
static const struct kind_by_word *find_kind(const char *text)
{
	size_t i, len = 0;

	text = skip_blank(text);
	while (g_ascii_isalpha(text[len]))
		len++;
	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (strlen(kinds[i].word) == len &&
		    !g_ascii_strncasecmp(text, kinds[i].word, len))
			return &kinds[i];
	}
	return NULL;
}

/* The kind of a statement; what is unknown counts as a read at first. */
enum sql_kind split_kind(const char *text)
{
	const struct kind_by_word *found;

	if (!*skip_blank(text))
		return KIND_EMPTY;
	if (!g_ascii_strncasecmp(text, pull_start, strlen(pull_start)))
		return KIND_PULL;
	found = find_kind(text);
	if (!found)
		return KIND_READ;
	if (found->kind == KIND_ROLLBACK && split_has_word(text, "TO"))
		return KIND_REFUSED;
	return found->kind;
}

/* The command tag without the count of rows, NULL for that of a SELECT. */
const char *split_tag(const char *text)
{
	const struct kind_by_word *found = find_kind(text);

	return found ? found->tag : NULL;
}

/* Whether the statement changes the schema. */
bool split_is_schema(const char *text)
{
	const struct kind_by_word *found = find_kind(text);

	return found && found->kind == KIND_WRITE &&
	       strchr("CDA", found->word[0]) &&
	       strcmp(found->word, "DELETE") != 0;
}

/* Writes the command tag of such a statement: its first two words. */
void split_schema_tag(const char *text, char *tag, size_t size)
{
	const char *at = skip_blank(text);
	size_t len = 0;
	int words = 0;

	while (*at && len + 1 < size) {
		if (g_ascii_isspace(*at) && ++words == 2)
			break;
		tag[len++] = g_ascii_toupper(*at++);
	}
	tag[len] = '\0';
}

/* Whether a word stands in the text, in either case. */
bool split_has_word(const char *text, const char *word)
{
	size_t len = strlen(word);
	const char *at;

	for (at = text; *at; at++) {
		if (at > text && (g_ascii_isalnum(at[-1]) || at[-1] == '_'))
			continue;
		if (!g_ascii_strncasecmp(at, word, len) &&
		    !g_ascii_isalnum(at[len]) && at[len] != '_')
			return true;
	}
	return false;
}
