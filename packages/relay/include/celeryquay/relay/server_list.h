#ifndef CELERYQUAY_RELAY_SERVER_LIST_H
#define CELERYQUAY_RELAY_SERVER_LIST_H

/*
 * Collects servers that a platform lists one by one, for a relay that takes the
 * whole list.
 */

#include <celeryquay/relay/relay.h>

struct relay_server_list;

/* relay_on_servers() or relay_on_peers() */
typedef void (*relay_list_fn)(struct relay *r,
			      const struct relay_server_info *infos,
			      unsigned n_infos, uint64_t now_us);

/*
 * An empty list. report_empty: it is passed on once even if nothing was put
 * into it.
 */
struct relay_server_list *relay_server_list_create(bool report_empty);
void relay_server_list_destroy(struct relay_server_list *l);
/* The list takes ownership of the info. */
void relay_server_list_put(struct relay_server_list *l, const char *key,
			   struct relay_server_info *info);
void relay_server_list_remove(struct relay_server_list *l, const char *key);
/*
 * The key's entry became unreadable: the server that it named gets no new work.
 */
void relay_server_list_mark_unusable(struct relay_server_list *l,
				     const char *key);
/* The store came back from a copy that lacks the key's entry. */
void relay_server_list_mark_forgotten(struct relay_server_list *l,
				      const char *key);
unsigned relay_server_list_size(const struct relay_server_list *l);
/* Calls `pass` with the list if it has changed since the last call. */
void relay_server_list_pass(struct relay_server_list *l, struct relay *r,
			    relay_list_fn pass, uint64_t now_us);
/*
 * Calls `pass` with the list while it is incomplete; it still counts as
 * changed.
 */
void relay_server_list_pass_partial(const struct relay_server_list *l,
				    struct relay *r, relay_list_fn pass,
				    uint64_t now_us);

/* Copies the info and its strings. */
void relay_server_info_copy(struct relay_server_info *to,
			    const struct relay_server_info *from);
/* Overwrites an earlier copy. */
void relay_server_info_replace(struct relay_server_info *to,
			       const struct relay_server_info *from);
/* Frees the strings of a copy. */
void relay_server_info_clear(struct relay_server_info *info);
bool relay_server_info_equal(const struct relay_server_info *a,
			     const struct relay_server_info *b);
void relay_server_info_free(struct relay_server_info *info);

#endif
