#ifndef STANDIN_SERVER_REPL_H
#define STANDIN_SERVER_REPL_H

/*
 * The following end of replication: pulls the log from the server that the
 * node follows, over libpq.
 */

struct repl;
struct server;

struct repl *repl_create(struct server *srv);
void repl_destroy(struct repl *repl);
void repl_check(struct repl *repl);

#endif
