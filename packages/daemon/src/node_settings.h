#ifndef CELERYQUAY_DAEMON_NODE_SETTINGS_H
#define CELERYQUAY_DAEMON_NODE_SETTINGS_H

/*
 * The settings file of one proxy. It is checked completely before anything is
 * started.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/log.h>
#include <celeryquay/base/log_sink.h>
#include <stdbool.h>
#include <stdint.h>

struct listen_settings {
	char *host; /* IP address */
	uint16_t port; /* 0: the kernel picks one */
	char *tls_certificate; /* path; NULL: no TLS */
	char *tls_key; /* path; set if and only if tls_certificate is */
};

/* A proxy that is contacted at the start to find the others. */
struct seed_settings {
	char *host;
	uint16_t port;
};

struct node_settings {
	char *name;
	char *data_centre;
	char *region;
	struct listen_settings callers; /* listener of the callers' API */
	struct listen_settings operators; /* listener of the admin API */
	char *peer_host;
	uint16_t peer_port;
	/* address for the other proxies, if it differs from peer_host */
	char *announce_host;
	uint16_t announce_port; /* 0: the bound port */
	char *curve_secret; /* CURVE keys in Z85; NULL: no encryption */
	char *curve_public;
	char **curve_allowed; /* keys of peers; empty: only our own */
	unsigned n_seeds;
	struct seed_settings *seeds;
	char **store_urls;
	uint64_t store_timeout_us;
	char **operator_tokens_sha256; /* hashes in lower-case hexadecimal */
	char *upstream_password;
	enum log_level log_level;
	bool log_decisions;
	struct log_budget log_budget;
	uint64_t max_body_bytes;
	unsigned max_connections;
	uint64_t header_timeout_us; /* time-out for a request's header */
	/* in a planned stop, how long health is red while we still accept */
	uint64_t stop_health_us;
	uint64_t stop_limit_us; /* maximum duration of a planned stop */
	uint64_t probe_interval_us;
	uint64_t suspect_after_us;
	uint64_t idle_transaction_us; /* idle time-out of transactions */
	unsigned homes; /* proxies that connect to a database's servers */
};

struct node_settings *node_settings_load(const char *path, struct err *err);
bool node_settings_check_files(const struct node_settings *s, const char *path,
			       struct err *err);
void node_settings_destroy(struct node_settings *s);

#endif
