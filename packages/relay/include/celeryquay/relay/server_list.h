#ifndef CELERYQUAY_RELAY_SERVER_LIST_H
#define CELERYQUAY_RELAY_SERVER_LIST_H

/* The servers that a platform lists one by one, for a relay that takes all. */

#include <celeryquay/relay/relay.h>

struct relay_server_list;

/* relay_on_servers() or relay_on_peers() */
typedef void (*relay_list_fn)(struct relay *r,
			      const struct relay_server_info *infos,
			      unsigned n_infos, uint64_t now_us);

/* Empty; tells_empty: passed on once also when nothing was put into it. */
struct relay_server_list *relay_server_list_create(bool tells_empty);
void relay_server_list_destroy(struct relay_server_list *l);
/* The info is the list's from now on. */
void relay_server_list_put(struct relay_server_list *l, const char *key,
			   struct relay_server_info *info);
void relay_server_list_remove(struct relay_server_list *l, const char *key);
/* What the key has now names nobody: who was there is not to be used. */
void relay_server_list_withdraw(struct relay_server_list *l, const char *key);
unsigned relay_server_list_size(const struct relay_server_list *l);
/* Passes the list on if it was changed. */
void relay_server_list_pass(struct relay_server_list *l, struct relay *r,
			    relay_list_fn pass, uint64_t now_us);
/* Passes on a part of it, with which it doesn't count as passed on. */
void relay_server_list_show(const struct relay_server_list *l, struct relay *r,
			    relay_list_fn pass, uint64_t now_us);

/* Strings are copied with the rest. */
void relay_server_info_copy(struct relay_server_info *to,
			    const struct relay_server_info *from);
/* The same over a copy that was made before. */
void relay_server_info_replace(struct relay_server_info *to,
			       const struct relay_server_info *from);
/* Frees the strings of a copy. */
void relay_server_info_clear(struct relay_server_info *info);
bool relay_server_info_equal(const struct relay_server_info *a,
			     const struct relay_server_info *b);
void relay_server_info_free(struct relay_server_info *info);

#endif
