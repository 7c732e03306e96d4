#ifndef CELERYQUAY_TESTS_SUPPORT_STATUS_H
#define CELERYQUAY_TESTS_SUPPORT_STATUS_H

/* Short constructors of server statuses and configuration items for tests. */

#include <celeryquay/core/fresh.h>
#include <celeryquay/core/model.h>

/* Arguments: pairs of a term and its start index, ended by a term of 0. */
struct history history_of(uint64_t term, ...);
struct server_status replica_status(uint64_t granted, uint64_t received,
				    uint64_t applied, struct history history);
struct server_status primary_status(uint64_t term, uint64_t received,
				    struct history history);
/* Parses the item and adds it to the model; fails the test if refused. */
void put_item(struct model *model, const char *key, uint64_t revision,
	      const char *json);
/* Adds a key whose secret is 32 times the same byte. */
void put_key(struct model *model, const char *id, uint64_t revision,
	     unsigned char byte, const char *state);

#endif
