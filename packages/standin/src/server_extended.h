#ifndef STANDIN_SERVER_EXTENDED_H
#define STANDIN_SERVER_EXTENDED_H

/*
 * The messages of the extended query protocol: Parse, Bind, Describe, Execute
 * and Close.
 */

#include "server_exec.h"

enum exec_result extended_message(struct session *s, char type,
				  struct wire_in *in);

#endif
