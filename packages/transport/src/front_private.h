#ifndef CELERYQUAY_TRANSPORT_FRONT_PRIVATE_H
#define CELERYQUAY_TRANSPORT_FRONT_PRIVATE_H

/*
 * Internal declarations of the HTTP front: its listeners, connections and
 * exchanges, and the steps from an HTTP request to a struct request. An
 * exchange is one HTTP request and its response.
 */

#include <celeryquay/transport/front.h>
#include <h2o.h>

/*
 * Bytes of a response body passed to h2o at once, so that a large response
 * doesn't keep the loop from serving other connections.
 */
#define FRONT_SLICE_MAX_BYTES ((size_t)64 * 1024)
/* Parts of a response body: head, results, tail. */
#define FRONT_BODY_PARTS 3

struct front_port {
	struct front *front;
	uv_tcp_t listener;
	h2o_accept_ctx_t accept;
	uint16_t number; /* bound TCP port, in host byte order */
	bool operators; /* the operators' port, not the callers' */
	unsigned connections; /* number of open ones, refused ones included */
	/* Connections served; those above get OVERLOADED. */
	unsigned connection_limit;
};

struct front_connection {
	uv_tcp_t tcp; /* first member: h2o passes this handle */
	struct front_port *port;
	h2o_socket_t *sock; /* NULL after h2o has closed it */
	GList link; /* in front.connections */
	unsigned exchanges; /* exchanges in progress */
	/* Exchange that is read for, to notice a hang-up; NULL: none. */
	struct front_request *watched;
	/* Loop time when a partial request was first seen; 0: there is none. */
	uint64_t partial_since_ms;
	int linger_fd; /* socket kept for a lingering close, or -1 */
	bool http2;
	bool refused; /* above the limit: every request gets OVERLOADED */
};

struct front_request {
	h2o_generator_t generator; /* first member: h2o passes it */
	struct front *front;
	struct front_connection *connection;
	h2o_req_t *req;
	GList link; /* in front.exchanges */
	h2o_timeout_entry_t watch; /* starts the watch for a hang-up */
	void *user; /* set by front_set_user() */
	/* Passed to the owner, which must answer it or be told of its end. */
	bool handed_over;
	bool answered; /* the response has been started */
	bool unlinked; /* removed from front.exchanges */
	const char *allow; /* value of the Allow header, for BAD_METHOD */
	GString *text; /* head and tail of the response body */
	GBytes *results; /* middle of the response body, or NULL */
	struct str parts[FRONT_BODY_PARTS];
	unsigned part; /* index of the part to be sent next */
	size_t offset; /* bytes of that part which h2o has been given */
	/* Loop time at which h2o was last given a slice. */
	uint64_t slice_at_ms;
};

struct front {
	uv_loop_t *loop;
	struct front_events events;
	void *ctx;
	size_t max_body_bytes;
	uint64_t header_timeout_us;
	h2o_globalconf_t config;
	h2o_context_t context;
	struct front_port callers;
	struct front_port operators;
	GQueue connections; /* struct front_connection */
	GQueue exchanges; /* struct front_request */
	GQueue lingers; /* struct front_linger */
	uv_timer_t tick; /* periodic check for slow callers */
	/* Closed last; its close callback frees the front. */
	uv_idle_t last_handle;
	bool stopping; /* the callers' port accepts no more connections */
	bool destroyed;
};

/* front.c */
void front_free_if_closed(struct front *f);

/* front_watch.c */
void front_shutdown_socket(struct front_connection *c, int how);
void front_watch_start(struct front_request *fr);
void front_watch_stop(struct front_request *fr);
void front_tick_start(struct front *f);

/* front_linger.c */
void front_linger_prepare(struct front_connection *c);
void front_linger_begin(struct front_connection *c);
void front_linger_sweep(struct front *f, bool all);

/* front_error.c */
void front_error_register(h2o_pathconf_t *path);

/* front_exchange.c */
int front_on_request(h2o_handler_t *handler, h2o_req_t *req);
void front_hang_up(struct front_request *fr);

struct front_handler {
	h2o_handler_t super;
	struct front *front;
};

/* front_answer.c */
bool front_made_response(const h2o_generator_t *generator);
GString *front_error_text(const char *outcome, const struct err *err,
			  uint64_t retry_after_us, const char *sqlstate);
void front_abandon(struct front_request *fr);
void front_fail(struct front_request *fr, const struct err *err);

/*
 * Levels of nesting. A valid body has at most 5, the deepest being a parameter
 * that is an object.
 */
#define FRONT_DEPTH_MAX 16

/* front_plain.c */
struct request *front_parse_plain(enum request_kind kind, bool profile,
				  bool statements, struct str body);

/* front_body.c */
struct request *front_parse_json(enum request_kind kind, struct str body,
				 struct err *err);
struct request *front_parse(enum request_kind kind, struct str body,
			    struct err *err);
void front_set_digest(struct request *request);

/* front_path.c */
struct front_path {
	enum request_kind kind;
	struct str service;
	struct str database;
	struct str transaction;
	const char *allow; /* methods of the path; NULL: unknown path */
};

bool front_path_parse(struct str method, struct str path,
		      struct front_path *out, struct err *err);

/* front_tls.c */
SSL_CTX *front_tls_create(const char *certificate, const char *key,
			  struct err *err);

#endif
