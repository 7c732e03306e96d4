#ifndef SOAK_MEMBER_H
#define SOAK_MEMBER_H

/* How the processes of a group's servers come, crash and go, and are listed. */

#include "group.h"

/* The servers' ports are known: those that run are listed in the store. */
void members_list(struct groups *g);
/* Writes its entry in the store's list. */
void member_list(const struct server *s);
void member_crash(struct server *s);
/* Back with its log under its id, as a replica if another was promoted. */
void member_restart(struct server *s);
/* The same under another id; to: its place or one without a process. */
void member_return(struct server *s, struct server *to);
/* It drains, and another takes its place with its log. */
void member_release(struct server *s);
/* It drains and ends, if enough others stay. */
void member_leave(struct server *s);
/* A new replica with the others' log; it gets no pause of theirs. */
void member_join(struct server *place);
/* Its entry goes and comes back after that long, while it lives. */
void member_lapse(struct server *s, uint64_t for_us);
/* A place of the group without a process, NULL: there is none. */
struct server *member_free_place(struct groups *g, unsigned group);
/* The one that crashed last and isn't back, NULL: none. */
struct server *member_crashed(struct groups *g, unsigned group);
/* A replica that runs, any of them for another pick; NULL: none. */
struct server *member_replica(struct groups *g, unsigned group, unsigned pick);

#endif
