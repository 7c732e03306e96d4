#ifndef CELERYQUAY_RELAY_STOP_H
#define CELERYQUAY_RELAY_STOP_H

/* Times of a planned stop. Prefix: rstop_. */

#include "relay_internal.h"

/* Until then transactions may go on. */
uint64_t rstop_transactions_end_us(const struct relay *r);
/* From then on a session ends when it is at rest. */
uint64_t rstop_rest_ends_us(const struct relay *r);

#endif
