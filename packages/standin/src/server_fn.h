#ifndef STANDIN_SERVER_FN_H
#define STANDIN_SERVER_FN_H

/*
 * The SQL functions by which a proxy asks a server for its state and tells it
 * its role.
 */

#include <stdbool.h>

#include "server_sql.h"

struct session;

void fn_register(struct sql_handle *handle);
bool fn_wait_is_over(const struct session *s);

#endif
