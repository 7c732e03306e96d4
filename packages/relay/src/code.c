#include <celeryquay/relay/statement.h>

#include <string.h>

/* Names and numbers of the codes in logs, metrics and docs/errors.md. */
static const struct relay_code_info codes[RELAY_CODES] = {
	[RELAY_OK] = { "OK", "done", 2000, RELAY_OUTCOME_DONE },
	[RELAY_BUSY] = { "BUSY", "no server could take it in time", 2001,
			 RELAY_OUTCOME_NOT_RUN },
	[RELAY_ABORTED] = { "ABORTED", "the transaction is rolled back", 2002,
			    RELAY_OUTCOME_NOT_RUN },
	[RELAY_LAGGING] = { "LAGGING",
			    "no server had the position that the read needs",
			    2003, RELAY_OUTCOME_NOT_RUN },
	[RELAY_READ_ONLY] = { "READ_ONLY", "the server is not the primary",
			      2004, RELAY_OUTCOME_NOT_RUN },
	[RELAY_MOVED] = { "MOVED", "another server answers at the address",
			  2005, RELAY_OUTCOME_NOT_RUN },
	[RELAY_TOO_MANY] = { "TOO_MANY", "the server's connections are used up",
			     2006, RELAY_OUTCOME_NOT_RUN },
	[RELAY_FAILED] = { "FAILED", "the server ran it and it failed", 2007,
			   RELAY_OUTCOME_FAILED },
	[RELAY_TIMED_OUT] = { "TIMED_OUT",
			      "a read got no answer within its timeout", 2008,
			      RELAY_OUTCOME_FAILED },
	[RELAY_IN_DOUBT] = { "IN_DOUBT",
			     "a write was sent and its outcome is not known",
			     2009, RELAY_OUTCOME_IN_DOUBT },
	[RELAY_NO_STATEMENT] = { "NO_STATEMENT",
				 "no statement is prepared under the name",
				 2010, RELAY_OUTCOME_NOT_RUN },
	[RELAY_NO_DATABASE] = { "NO_DATABASE",
				"the configuration has no such database", 2011,
				RELAY_OUTCOME_NOT_RUN },
	[RELAY_MALFORMED] = { "MALFORMED",
			      "it can't be run in the session's state", 2012,
			      RELAY_OUTCOME_NOT_RUN },
	[RELAY_UNAUTHORIZED] = { "UNAUTHORIZED",
				 "the key is of no client account", 2014,
				 RELAY_OUTCOME_NOT_RUN },
	[RELAY_OTHER] = { "OTHER", "the server gave a code that is not known",
			  2013, RELAY_OUTCOME_FAILED },
};

/* The description of a code; of RELAY_OTHER for one out of range. */
const struct relay_code_info *relay_code_info(enum relay_code code)
{
	return &codes[code < RELAY_CODES ? code : RELAY_OTHER];
}

/* The description of the code of that name; NULL: there is none. */
const struct relay_code_info *relay_code_find(const char *name)
{
	unsigned i;

	for (i = 0; i < RELAY_CODES; i++)
		if (!strcmp(codes[i].name, name))
			return &codes[i];
	return NULL;
}

/* The outcome's value in labels of metrics and in logs. */
const char *relay_outcome_name(enum relay_outcome outcome)
{
	static const char *const names[RELAY_OUTCOMES] = {
		[RELAY_OUTCOME_DONE] = "done",
		[RELAY_OUTCOME_NOT_RUN] = "not_run",
		[RELAY_OUTCOME_FAILED] = "failed",
		[RELAY_OUTCOME_IN_DOUBT] = "in_doubt",
	};

	return names[outcome];
}
