#ifndef CELERYQUAY_HARNESS_CLUSTER_PRIVATE_H
#define CELERYQUAY_HARNESS_CLUSTER_PRIVATE_H

/* Declarations shared by the cluster_*.c files. */

#include "cluster.h"

/* Listen address with a port that the kernel picks. */
#define ANY_PORT "127.0.0.1:0"

/* cluster_conf.c: the store's content and the proxies' settings files */
char *cluster_configuration(const struct cluster *c);
char *cluster_settings(const struct cluster *c, unsigned i);

/* cluster_faults.c: the fault proxy and its routes */
bool cluster_start_faults(struct cluster *c, struct err *err);
bool cluster_add_proxy_routes(struct cluster *c, struct cluster_proxy *p);

#endif
