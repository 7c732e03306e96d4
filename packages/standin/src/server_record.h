#ifndef STANDIN_SERVER_RECORD_H
#define STANDIN_SERVER_RECORD_H

/*
 * What an entry of the log holds: the write statements of one transaction,
 * with their parameters.
 */

#include "server_sql.h"

void record_put(GByteArray *out, const char *text,
		const struct sql_param *params, int count);
bool record_replay(struct sql_handle *handle, const uint8_t *data, size_t len,
		   struct sql_error *err);

#endif
