#ifndef CELERYQUAY_CORE_STATUS_SCAN_H
#define CELERYQUAY_CORE_STATUS_SCAN_H

/*
 * Fast path for statuses in the notation that the servers' machines write. Each
 * write causes about three statuses, and the JSON library takes some 98,000
 * instructions for each.
 */

#include <celeryquay/core/types.h>

bool status_scan(struct str json, struct server_status *out);

#endif
