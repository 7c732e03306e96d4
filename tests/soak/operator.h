#ifndef SOAK_OPERATOR_H
#define SOAK_OPERATOR_H

/* The operators, who write the configuration. */

#include "group.h"
#include "store.h"

/* Writes the configuration under its next version; returns that. */
unsigned operator_put_config(struct store *s, const struct groups *g);
/* The version written last. */
unsigned operator_version(void);

#endif
