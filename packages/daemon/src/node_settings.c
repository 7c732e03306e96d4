#define LOG_MODULE "settings"
#include "node_settings.h"

#include <celeryquay/base/settings.h>
#include <celeryquay/core/types.h>

#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <unistd.h>

#define CURVE_KEY_LENGTH 40
/* The alphabet of Z85, the encoding of ZeroMQ's keys. */
#define Z85_ALPHABET                                                     \
	"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" \
	".-:+=^!/*?&<>()[]{}@%$#"
#define SHA256_HEX_LENGTH 64
#define MAX_NAME_LENGTH 63
/*
 * Default limits of the log's rate. A node answers thousands of requests a
 * second, most of them without an error.
 */
#define DEFAULT_LOG_LINES_PER_S 2000
#define DEFAULT_LOG_BYTES_PER_S 1048576
#define LOG_RATE_MAX 1000000000 /* upper bound of both settings */

/*
 * Reads an IP address. Host names are refused, since they would need a
 * resolver.
 */
static bool read_address(struct settings *s, const char *key, char **out,
			 struct err *err)
{
	unsigned char buf[sizeof(struct in6_addr)];

	if (!settings_str(s, key, SETTINGS_REQUIRED_STR, out, err))
		return false;
	if (inet_pton(AF_INET, *out, buf) == 1 ||
	    inet_pton(AF_INET6, *out, buf) == 1)
		return true;
	return settings_fail(s, key, err, "'%s' is not an IP number", *out);
}

static bool read_port(struct settings *s, const char *key, uint16_t *out,
		      struct err *err)
{
	int64_t port;

	if (!settings_int(s, key, 0, UINT16_MAX, SETTINGS_REQUIRED_INT, &port,
			  err))
		return false;
	*out = (uint16_t)port;
	return true;
}

static bool read_ms(struct settings *s, const char *key, int64_t max_ms,
		    int64_t fallback_ms, uint64_t *out_us, struct err *err)
{
	int64_t ms;

	if (!settings_int(s, key, 1, max_ms, fallback_ms, &ms, err))
		return false;
	*out_us = (uint64_t)ms * USEC_PER_MSEC;
	return true;
}

static bool read_listen(struct settings *top, const char *key,
			struct listen_settings *out, struct err *err)
{
	struct settings *s = settings_child(top, key, err);
	bool ok = false;

	if (!s)
		return false;
	if (!read_address(s, "host", &out->host, err) ||
	    !read_port(s, "port", &out->port, err) ||
	    !settings_str(s, "tls_certificate", NULL, &out->tls_certificate,
			  err) ||
	    !settings_str(s, "tls_key", NULL, &out->tls_key, err))
		goto err;
	if (!out->tls_certificate != !out->tls_key) {
		settings_fail(s, "tls_key", err,
			      "tls_certificate and tls_key go together: "
			      "set both or none");
		goto err;
	}
	ok = settings_reject_unknown(s, err);
err:
	settings_destroy(s);
	return ok;
}

/* Parses "ADDRESS:PORT"; the last colon separates the two. */
static bool split_address(struct settings *s, const char *key, const char *text,
			  char **host, uint16_t *out_port, struct err *err)
{
	unsigned char buf[sizeof(struct in6_addr)];
	const char *colon = strrchr(text, ':');
	uint64_t port;

	if (!colon || !str_to_u64(str_from_c(colon + 1), &port) || !port ||
	    port > UINT16_MAX)
		return settings_fail(s, key, err,
				     "'%s' is not of the form number:port",
				     text);
	*host = g_strndup(text, (gsize)(colon - text));
	*out_port = (uint16_t)port;
	if (inet_pton(AF_INET, *host, buf) != 1 &&
	    inet_pton(AF_INET6, *host, buf) != 1)
		return settings_fail(s, key, err, "'%s' is not an IP number",
				     *host);
	return true;
}

static bool read_seeds(struct settings *s, struct node_settings *out,
		       struct err *err)
{
	char **list = NULL;
	bool ok = true;
	unsigned i;

	if (!settings_str_list(s, "seeds", &list, err))
		return false;
	out->seeds = g_new0(struct seed_settings, g_strv_length(list) + 1);
	for (i = 0; list[i] && ok; i++) {
		out->n_seeds = i + 1;
		ok = split_address(s, "seeds", list[i], &out->seeds[i].host,
				   &out->seeds[i].port, err);
	}
	g_strfreev(list);
	return ok;
}

static bool check_curve_key(struct settings *s, const char *key,
			    const char *value, struct err *err)
{
	if (!value || (strlen(value) == CURVE_KEY_LENGTH &&
		       strspn(value, Z85_ALPHABET) == CURVE_KEY_LENGTH))
		return true;
	return settings_fail(s, key, err,
			     "expected a key of %d characters of Z85",
			     CURVE_KEY_LENGTH);
}

static bool read_curve(struct settings *s, struct node_settings *out,
		       struct err *err)
{
	unsigned i;

	if (!settings_str(s, "curve_secret", NULL, &out->curve_secret, err) ||
	    !settings_str(s, "curve_public", NULL, &out->curve_public, err) ||
	    !settings_str_list(s, "curve_allowed", &out->curve_allowed, err))
		return false;
	if (!out->curve_secret != !out->curve_public)
		return settings_fail(s, "curve_secret", err,
				     "curve_secret and curve_public go "
				     "together: set both or none");
	/*
	 * Without encryption the list would have no effect, though it looks as
	 * if only these keys were admitted.
	 */
	if (out->curve_allowed[0] && !out->curve_secret)
		return settings_fail(s, "curve_allowed", err,
				     "without curve_secret nothing is "
				     "encrypted and everybody may connect");
	for (i = 0; out->curve_allowed[i]; i++) {
		if (!check_curve_key(s, "curve_allowed", out->curve_allowed[i],
				     err))
			return false;
	}
	return check_curve_key(s, "curve_secret", out->curve_secret, err) &&
	       check_curve_key(s, "curve_public", out->curve_public, err);
}

/* A proxy behind NAT announces the address at which others reach it. */
static bool read_announce(struct settings *s, struct node_settings *out,
			  struct err *err)
{
	char *text = NULL;
	bool ok;

	if (!settings_str(s, "announce", NULL, &text, err))
		return false;
	ok = !text || split_address(s, "announce", text, &out->announce_host,
				    &out->announce_port, err);
	g_free(text);
	return ok;
}

static bool read_peers(struct settings *top, struct node_settings *out,
		       struct err *err)
{
	struct settings *s = settings_child(top, "peers", err);
	bool ok;

	if (!s)
		return false;
	ok = read_address(s, "host", &out->peer_host, err) &&
	     read_port(s, "port", &out->peer_port, err) &&
	     read_announce(s, out, err) && read_curve(s, out, err) &&
	     read_seeds(s, out, err) && settings_reject_unknown(s, err);
	settings_destroy(s);
	return ok;
}

static bool check_urls(struct settings *s, char **urls, struct err *err)
{
	if (!urls[0])
		return settings_fail(s, "urls", err,
				     "at least one URL is required");
	for (; *urls; urls++) {
		if (!g_str_has_prefix(*urls, "http://") &&
		    !g_str_has_prefix(*urls, "https://"))
			return settings_fail(s, "urls", err,
					     "'%s' is not an HTTP URL", *urls);
	}
	return true;
}

static bool read_store(struct settings *top, struct node_settings *out,
		       struct err *err)
{
	struct settings *s = settings_child(top, "store", err);
	bool ok = false;

	if (!s)
		return false;
	if (!settings_str_list(s, "urls", &out->store_urls, err) ||
	    !read_ms(s, "timeout_ms", 60000, 1000, &out->store_timeout_us, err))
		goto err;
	ok = check_urls(s, out->store_urls, err) &&
	     settings_reject_unknown(s, err);
err:
	settings_destroy(s);
	return ok;
}

static bool read_log_rate(struct settings *s, const char *key, uint64_t *out,
			  struct err *err)
{
	int64_t n;

	if (!settings_int(s, key, 1, LOG_RATE_MAX, (int64_t)*out, &n, err))
		return false;
	*out = (uint64_t)n;
	return true;
}

static bool read_log(struct settings *top, struct node_settings *out,
		     struct err *err)
{
	struct settings *s;
	char *level = NULL;
	bool ok = false;

	out->log_level = LOG_LEVEL_INFO;
	out->log_decisions = true;
	out->log_budget.lines_per_s = DEFAULT_LOG_LINES_PER_S;
	out->log_budget.bytes_per_s = DEFAULT_LOG_BYTES_PER_S;
	if (!settings_has(top, "log"))
		return true;
	s = settings_child(top, "log", err);
	if (!s)
		return false;
	if (!settings_str(s, "level", "info", &level, err) ||
	    !settings_bool(s, "decisions", true, &out->log_decisions, err) ||
	    !read_log_rate(s, "lines_per_s", &out->log_budget.lines_per_s,
			   err) ||
	    !read_log_rate(s, "bytes_per_s", &out->log_budget.bytes_per_s, err))
		goto err;
	if (!log_level_parse(level, &out->log_level)) {
		settings_fail(s, "level", err,
			      "'%s' is not one of err, warn, info, dbg", level);
		goto err;
	}
	ok = settings_reject_unknown(s, err);
err:
	g_free(level);
	settings_destroy(s);
	return ok;
}

/* Reads an optional object; if it is absent, an empty one. */
static struct settings *optional_child(struct settings *top, const char *key,
				       struct err *err)
{
	if (!settings_has(top, key))
		return settings_from_data(key, "{}", 2, err);
	return settings_child(top, key, err);
}

static bool read_limits(struct settings *top, struct node_settings *out,
			struct err *err)
{
	struct settings *s = optional_child(top, "limits", err);
	int64_t body, connections, homes;
	bool ok;

	if (!s)
		return false;
	ok = settings_int(s, "max_body_bytes", 1024, 1 << 30, 1 << 20, &body,
			  err) &&
	     settings_int(s, "max_connections", 1, 1000000, 10000, &connections,
			  err) &&
	     settings_int(s, "homes", 1, 8, 2, &homes, err) &&
	     read_ms(s, "header_timeout_ms", 600000, 10000,
		     &out->header_timeout_us, err) &&
	     read_ms(s, "idle_transaction_ms", 3600000, 10000,
		     &out->idle_transaction_us, err) &&
	     settings_reject_unknown(s, err);
	settings_destroy(s);
	if (!ok)
		return false;
	out->max_body_bytes = (uint64_t)body;
	out->max_connections = (unsigned)connections;
	out->homes = (unsigned)homes;
	return true;
}

static bool read_timing(struct settings *top, struct node_settings *out,
			struct err *err)
{
	struct settings *s = optional_child(top, "timing", err);
	bool ok;

	if (!s)
		return false;
	ok = read_ms(s, "probe_interval_ms", 60000, 100,
		     &out->probe_interval_us, err) &&
	     read_ms(s, "suspect_after_ms", 60000, 700, &out->suspect_after_us,
		     err) &&
	     read_ms(s, "stop_health_ms", 600000, 2000, &out->stop_health_us,
		     err) &&
	     read_ms(s, "stop_limit_ms", 3600000, 30000, &out->stop_limit_us,
		     err) &&
	     settings_reject_unknown(s, err);
	settings_destroy(s);
	return ok;
}

static bool read_name(struct settings *s, const char *key, char **out,
		      struct err *err)
{
	const char *c;

	if (!settings_str(s, key, SETTINGS_REQUIRED_STR, out, err))
		return false;
	for (c = *out; *c; c++) {
		if (!g_ascii_isalnum(*c) && *c != '-' && *c != '_' && *c != '.')
			return settings_fail(s, key, err,
					     "only letters, digits, '-', '_' "
					     "and '.' are allowed");
	}
	if (c == *out || c - *out > MAX_NAME_LENGTH)
		return settings_fail(s, key, err, "expected 1 to %d characters",
				     MAX_NAME_LENGTH);
	return true;
}

/*
 * Refuses two listeners on one port; otherwise opening the second one would
 * fail only after the start.
 */
static bool check_ports(struct settings *top, const struct node_settings *s,
			struct err *err)
{
	uint16_t a = s->callers.port, b = s->operators.port, c = s->peer_port;

	if (a && a == b && !strcmp(s->callers.host, s->operators.host))
		return settings_fail(top, "operators", err,
				     "port %u is already used for callers", a);
	if (c && ((c == a && !strcmp(s->peer_host, s->callers.host)) ||
		  (c == b && !strcmp(s->peer_host, s->operators.host))))
		return settings_fail(top, "peers", err,
				     "port %u is already used by a listener",
				     c);
	return true;
}

/*
 * Reads the hashes of operators' tokens. A hash that no token can match is
 * refused, since it would lock its operator out without an error message.
 */
static bool read_operators(struct settings *top, struct node_settings *out,
			   struct err *err)
{
	char **hash;

	if (!settings_str_list(top, "operator_tokens_sha256",
			       &out->operator_tokens_sha256, err))
		return false;
	for (hash = out->operator_tokens_sha256; *hash; hash++) {
		if (strlen(*hash) != SHA256_HEX_LENGTH ||
		    strspn(*hash, "0123456789abcdef") != SHA256_HEX_LENGTH)
			return settings_fail(
				top, "operator_tokens_sha256", err,
				"expected a SHA-256 hash of %d digits, "
				"lower-case hexadecimal",
				SHA256_HEX_LENGTH);
	}
	return true;
}

static bool read_all(struct settings *top, struct node_settings *s,
		     struct err *err)
{
	return read_name(top, "name", &s->name, err) &&
	       read_name(top, "data_centre", &s->data_centre, err) &&
	       read_name(top, "region", &s->region, err) &&
	       read_listen(top, "callers", &s->callers, err) &&
	       read_listen(top, "operators", &s->operators, err) &&
	       read_peers(top, s, err) && read_store(top, s, err) &&
	       read_operators(top, s, err) &&
	       settings_str(top, "upstream_password", NULL,
			    &s->upstream_password, err) &&
	       read_log(top, s, err) && read_limits(top, s, err) &&
	       read_timing(top, s, err) && check_ports(top, s, err) &&
	       settings_reject_unknown(top, err);
}

/*
 * Reads and checks a settings file. Returns NULL with ERR_BAD_SETTINGS, whose
 * message names the file, the key and the reason. Nothing is started here.
 */
struct node_settings *node_settings_load(const char *path, struct err *err)
{
	struct settings *top = settings_from_file(path, err);
	struct node_settings *s;

	if (!top)
		return NULL;
	s = g_new0(struct node_settings, 1);
	if (!read_all(top, s, err)) {
		node_settings_destroy(s);
		s = NULL;
	}
	settings_destroy(top);
	return s;
}

static bool check_file(const char *path, const char *key, const char *file,
		       struct err *err)
{
	if (!file || !access(file, R_OK))
		return true;
	err_set(err, ERR_BAD_SETTINGS, "%s: %s: %s: %s", path, key, file,
		g_strerror(errno));
	return false;
}

/* Whether the TLS files named in the settings exist and are readable. */
bool node_settings_check_files(const struct node_settings *s, const char *path,
			       struct err *err)
{
	return check_file(path, "callers: tls_certificate",
			  s->callers.tls_certificate, err) &&
	       check_file(path, "callers: tls_key", s->callers.tls_key, err) &&
	       check_file(path, "operators: tls_certificate",
			  s->operators.tls_certificate, err) &&
	       check_file(path, "operators: tls_key", s->operators.tls_key,
			  err);
}

static void listen_clear(struct listen_settings *l)
{
	g_free(l->host);
	g_free(l->tls_certificate);
	g_free(l->tls_key);
}

/* Frees the settings, also if reading them failed midway. */
void node_settings_destroy(struct node_settings *s)
{
	unsigned i;

	if (!s)
		return;
	for (i = 0; i < s->n_seeds; i++)
		g_free(s->seeds[i].host);
	g_free(s->seeds);
	listen_clear(&s->callers);
	listen_clear(&s->operators);
	g_strfreev(s->curve_allowed);
	g_strfreev(s->store_urls);
	g_strfreev(s->operator_tokens_sha256);
	g_free(s->upstream_password);
	g_free(s->curve_secret);
	g_free(s->curve_public);
	g_free(s->announce_host);
	g_free(s->peer_host);
	g_free(s->region);
	g_free(s->data_centre);
	g_free(s->name);
	g_free(s);
}
