#ifndef CELERYQUAY_RELAY_HOMES_H
#define CELERYQUAY_RELAY_HOMES_H

/*
 * The other proxies, the homes of services among them, and how sessions go
 * through homes. Prefixes: peers_ other proxies, rplace_ what they can carry
 * and which services' homes are pooled, role_ roles, rank_ ranks, via_ homes
 * that sessions go through, rpartition_ network partitions.
 */

#include "relay_internal.h"

/* placement.c */
struct rplace *rplace_create(const struct relay_settings *settings);
void rplace_destroy(struct rplace *p);
/* True: weights may have changed, and with them the ranks. */
bool rplace_update(struct relay *r);
bool rplace_is_pooled(const struct rservice *v, unsigned homes,
		      unsigned min_homes);
unsigned rplace_weight(const struct relay *r, const char *name);
void rplace_log(const struct rservice *v);

/* peer.c */
GHashTable *peers_table_new(void);
void peers_clear(struct relay *r);
const struct relay_server_info *peers_find(const struct relay *r,
					   const char *name);
void peers_on_catalog(struct relay *r, uint64_t now_us);
void peers_tick(struct relay *r, uint64_t now_us);

/* role.c */
unsigned role_proxy_count(const struct relay *r);
bool role_update_all(struct relay *r);
void role_update_served(struct relay *r);
GPtrArray *role_homes(struct rservice *v);
bool role_is_ranked_home(const struct rservice *v);
GPtrArray *role_spares(struct rservice *v);
void role_on_new_service(struct rservice *v);
void role_on_asked(struct rservice *v, uint64_t now_us);
void role_end_spares(struct relay *r, uint64_t now_us);

/* rank.c */
void rank_init(struct rservice *v);
void rank_on_added(struct rservice *v, const char *name);
void rank_on_removed(struct rservice *v, const char *name);
unsigned rank_best(const struct rservice *v, const char **names, unsigned max);

/* via.c */
void via_on_proxy_changed(struct relay *r, const struct relay_server_info *p,
			  uint64_t now_us);
struct rserver *via_list_home(struct rservice *via,
			      const struct relay_server_info *p,
			      uint64_t now_us);
void via_update_homes(struct relay *r, uint64_t now_us);
void via_tick(struct relay *r, uint64_t now_us);
bool via_is_standby(const struct rsession *s, struct rservice *v,
		    const struct relay_profile *profile, uint64_t now_us);
bool via_may_bypass(const struct rsession *s, struct rservice *v,
		    uint64_t now_us);
bool via_is_isolated(const struct relay *r, uint64_t now_us);
bool via_has_no_home(const struct rsession *s, uint64_t now_us);
bool via_is_cut_off(struct rservice *v, uint64_t now_us);
bool via_is_good_home(const struct rserver *s, uint64_t now_us);
bool via_may_try_another(const struct rsession *s, struct rserver *home);
void via_choose(struct rsession *s, const struct relay_profile *profile,
		struct rservice *v, struct rpick *out, uint64_t now_us);

/* partition.c */
bool rpartition_is_cut_off(const struct rservice *v, uint64_t now_us);
bool rpartition_is_any_cut_off(const struct relay *r, uint64_t now_us);
void rpartition_tick(struct relay *r, uint64_t now_us);

#endif
