#ifndef SOAK_AUDIT_H
#define SOAK_AUDIT_H

/* What callers asked for and were told, and what was found wrong. */

#include <celeryquay/relay/catalog.h>
#include <celeryquay/relay/statement.h>
#include <glib.h>

#define ID_SIZE 24

/* One statement, or one transaction. */
struct attempt {
	unsigned session; /* one connection of a caller */
	unsigned service;
	enum relay_kind kind;
	uint64_t begun_us; /* its first byte was sent */
	unsigned n_commits; /* that servers made for it */
	bool promised; /* its caller was told that nothing is kept */
	unsigned conn; /* at a server, of its transaction; 0: none yet */
};

struct ask {
	char id[ID_SIZE];
	struct attempt *attempt;
	enum relay_verb verb;
	bool writes;
	bool in_transaction;
	char *name;
	char *text;
	char *values; /* the session's, in the order of their names */
	char *shape; /* EXECUTE: of the prepared statement */
	GPtrArray *signatures; /* of its runs */
	unsigned commit; /* that its run made, 0: none */
};

struct audit;

struct audit *audit_create(void);
struct attempt *audit_attempt(struct audit *a);
struct ask *audit_ask(struct audit *a);
struct ask *audit_find(struct audit *a, struct str id);
void audit_wrong(struct audit *a, const char *format, ...) G_GNUC_PRINTF(2, 3);
unsigned audit_n_wrong(const struct audit *a);
/* "name=value;" for each, by name. */
char *audit_values(GHashTable *values);

#endif
