#include "sim.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <json-glib/json-glib.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_US (1200 * MS)
#define PROMOTE_US SEC
#define RECEIVE_US MS /* from a commit until a replica has received it */
#define WORK_US (6 * MS)
#define GRACE_US (6 * SEC)
#define RESTART_US (500 * MS)
#define BALANCER_US SEC
#define MISSES_MAX 2
#define POLL_MS 1
#define FIRST_REVISION 100

enum kind { STORE_CONN, SERVER_CONN, CALLER_CONN, QUESTION_CONN };

/* A connection, accepted or opened here. */
struct link {
	int fd;
	enum kind kind;
	void *owner; /* struct server, caller or proxy */
	GString *in;
	GString *out;
	bool close_after; /* once `out` is sent */
	bool closed;
	unsigned pins; /* timers that will answer here */
	/* Of a connection to a server. */
	bool started;
	char state;
};

struct listener {
	int fd;
	enum kind kind;
	void *owner;
};

struct timer {
	uint64_t at_us;
	sim_fn fn;
	void *data;
	uint64_t number;
};

struct item {
	char *key;
	GBytes *value; /* NULL: deleted */
	uint64_t revision;
	int64_t lease;
};

struct watch {
	struct link *link;
	uint64_t after;
	uint64_t until_us;
};

static struct {
	uint64_t start_us;
	FILE *record;
	GPtrArray *links;
	GArray *listeners;
	GPtrArray *timers;
	uint64_t n_timers;
	/* The store. */
	uint64_t revision;
	GPtrArray *items; /* struct item, by key */
	GPtrArray *events; /* struct item, oldest first */
	GPtrArray *watches;
	int64_t n_leases;
	uint16_t store_port;
	uint64_t token; /* of the last promotion */
	GPtrArray *servers;
	GPtrArray *proxies;
	char *dir;
	unsigned sequence;
} sim;

unsigned servers_sync_replicas;
GArray *servers_commits;
struct server *servers_promoted;

static uint64_t clock_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (uint64_t)t.tv_sec * SEC + (uint64_t)t.tv_nsec / 1000;
}

uint64_t sim_now(void)
{
	return clock_us() - sim.start_us;
}

void sim_record(const char *format, ...)
{
	uint64_t now_us = sim_now();
	va_list args;

	fprintf(sim.record, "%7.3f  ", (double)now_us / SEC);
	va_start(args, format);
	vfprintf(sim.record, format, args);
	va_end(args);
	fputc('\n', sim.record);
	fflush(sim.record);
}

void sim_at(uint64_t at_us, sim_fn fn, void *data)
{
	struct timer *t = g_new0(struct timer, 1);

	t->at_us = at_us;
	t->fn = fn;
	t->data = data;
	t->number = ++sim.n_timers;
	g_ptr_array_add(sim.timers, t);
}

static void run_timers(void)
{
	for (;;) {
		struct timer *first = NULL;
		unsigned i, at = 0;

		for (i = 0; i < sim.timers->len; i++) {
			struct timer *t = g_ptr_array_index(sim.timers, i);

			if (!first || t->at_us < first->at_us ||
			    (t->at_us == first->at_us &&
			     t->number < first->number)) {
				first = t;
				at = i;
			}
		}
		if (!first || first->at_us > sim_now())
			return;
		g_ptr_array_remove_index_fast(sim.timers, at);
		first->fn(first->data);
		g_free(first);
	}
}

/* Sockets. */

static int listen_on(const char *address, uint16_t *port)
{
	struct sockaddr_in in = { .sin_family = AF_INET };
	socklen_t size = sizeof(in);
	int one = 1,
	    fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, address, &in.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) || listen(fd, 128) ||
	    getsockname(fd, (struct sockaddr *)&in, &size))
		sim_end(CASE_NOT_RUN, "no port could be opened");
	*port = ntohs(in.sin_port);
	return fd;
}

static void add_listener(int fd, enum kind kind, void *owner)
{
	struct listener l = { fd, kind, owner };

	g_array_append_val(sim.listeners, l);
}

static struct link *link_new(int fd, enum kind kind, void *owner)
{
	struct link *l = g_new0(struct link, 1);
	int one = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	l->fd = fd;
	l->kind = kind;
	l->owner = owner;
	l->state = 'I';
	l->in = g_string_new(NULL);
	l->out = g_string_new(NULL);
	g_ptr_array_add(sim.links, l);
	return l;
}

static struct link *link_connect(const char *address, uint16_t port,
				 enum kind kind, void *owner)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, address, &in.sin_addr);
	if (connect(fd, (struct sockaddr *)&in, sizeof(in)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return NULL;
	}
	return link_new(fd, kind, owner);
}

static void link_close(struct link *l, bool reset)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };

	if (l->closed)
		return;
	if (reset)
		setsockopt(l->fd, SOL_SOCKET, SO_LINGER, &linger,
			   sizeof(linger));
	close(l->fd);
	l->closed = true;
}

static void put(struct link *l, const char *format, ...) G_GNUC_PRINTF(2, 3);

static void put(struct link *l, const char *format, ...)
{
	va_list args;

	if (l->closed)
		return;
	va_start(args, format);
	g_string_append_vprintf(l->out, format, args);
	va_end(args);
}

/* The store. */

static struct item *item_new(const char *key, GBytes *value, uint64_t revision,
			     int64_t lease)
{
	struct item *i = g_new0(struct item, 1);

	i->key = g_strdup(key);
	i->value = value ? g_bytes_ref(value) : NULL;
	i->revision = revision;
	i->lease = lease;
	return i;
}

static struct item *find_item(const char *key)
{
	unsigned i;

	for (i = 0; i < sim.items->len; i++) {
		struct item *item = g_ptr_array_index(sim.items, i);

		if (!strcmp(item->key, key))
			return item;
	}
	return NULL;
}

static gint by_key(gconstpointer a, gconstpointer b)
{
	return strcmp((*(struct item *const *)a)->key,
		      (*(struct item *const *)b)->key);
}

static void set_item(const char *key, GBytes *value, int64_t lease)
{
	struct item *old = find_item(key);

	if (old)
		g_ptr_array_remove(sim.items, old);
	if (value)
		g_ptr_array_add(sim.items,
				item_new(key, value, sim.revision, lease));
	g_ptr_array_sort(sim.items, by_key);
	g_ptr_array_add(sim.events, item_new(key, value, sim.revision, lease));
}

void store_put(const char *key, const char *value, gssize len)
{
	GBytes *bytes = NULL;

	if (value)
		bytes = g_bytes_new(value,
				    len < 0 ? strlen(value) : (gsize)len);
	else if (!find_item(key))
		return;
	sim.revision++;
	set_item(key, bytes, 0);
	if (bytes)
		g_bytes_unref(bytes);
}

static void put_item(GString *out, const struct item *i)
{
	g_string_append_printf(
		out, "{\"key\":\"%s\",\"revision\":%" G_GUINT64_FORMAT, i->key,
		i->revision);
	if (i->value) {
		gsize len;
		const guchar *data = g_bytes_get_data(i->value, &len);
		char *text = g_base64_encode(data, len);

		g_string_append_printf(
			out,
			",\"value\":\"%s\",\"created\":%" G_GUINT64_FORMAT
			",\"leaseId\":%" G_GINT64_FORMAT "}",
			text, i->revision, i->lease);
		g_free(text);
	} else {
		g_string_append(out, ",\"deleted\":true}");
	}
}

static void answer_http(struct link *l, unsigned status, const char *body)
{
	put(l,
	    "HTTP/1.1 %u X\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n",
	    status, strlen(body));
	if (!l->closed)
		g_string_append(l->out, body);
}

static char *query_of(const char *path, const char *name)
{
	const char *query = strchr(path, '?');
	GHashTable *all;
	char *value;

	if (!query)
		return g_strdup("");
	all = g_uri_parse_params(query + 1, -1, "&", G_URI_PARAMS_NONE, NULL);
	value = g_strdup(all ? g_hash_table_lookup(all, name) : NULL);
	if (all)
		g_hash_table_unref(all);
	return value ? value : g_strdup("");
}

static void answer_range(struct link *l, const char *path)
{
	char *prefix = query_of(path, "prefix"),
	     *after = query_of(path, "after");
	GString *out = g_string_new("{\"items\":[");
	unsigned i, n = 0;

	for (i = 0; i < sim.items->len; i++) {
		const struct item *item = g_ptr_array_index(sim.items, i);

		if (!g_str_has_prefix(item->key, prefix) ||
		    (*after && strcmp(item->key, after) <= 0))
			continue;
		if (n++)
			g_string_append_c(out, ',');
		put_item(out, item);
	}
	g_string_append_printf(out,
			       "],\"hasMore\":false,\"at\":%" G_GUINT64_FORMAT
			       "}",
			       sim.revision);
	answer_http(l, 200, out->str);
	g_string_free(out, TRUE);
	g_free(prefix);
	g_free(after);
}

/* Answers the watch if there is an event, or its time is over. */
static bool try_watch(const struct watch *w)
{
	GString *out = g_string_new("{\"events\":[");
	unsigned i, n = 0;

	for (i = 0; i < sim.events->len; i++) {
		const struct item *e = g_ptr_array_index(sim.events, i);

		if (e->revision <= w->after)
			continue;
		if (n++)
			g_string_append_c(out, ',');
		put_item(out, e);
	}
	g_string_append_printf(out, "],\"at\":%" G_GUINT64_FORMAT "}",
			       sim.revision);
	if (n || sim_now() >= w->until_us)
		answer_http(w->link, 200, out->str);
	else
		w = NULL;
	g_string_free(out, TRUE);
	return w != NULL;
}

static void run_watches(void)
{
	unsigned i = 0;

	while (i < sim.watches->len) {
		struct watch *w = g_ptr_array_index(sim.watches, i);

		if (!w->link->closed && !try_watch(w)) {
			i++;
			continue;
		}
		w->link->pins--;
		g_ptr_array_remove_index(sim.watches, i);
		g_free(w);
	}
}

static void begin_watch(struct link *l, const char *path)
{
	char *after = query_of(path, "after"), *wait = query_of(path, "waitMs");
	struct watch *w = g_new0(struct watch, 1);

	w->link = l;
	w->after = g_ascii_strtoull(after, NULL, 10);
	w->until_us = sim_now() + g_ascii_strtoull(wait, NULL, 10) * MS;
	l->pins++;
	g_ptr_array_add(sim.watches, w);
	g_free(after);
	g_free(wait);
}

static bool is_as_expected(JsonObject *o)
{
	const struct item *item =
		find_item(json_object_get_string_member(o, "key"));

	return (uint64_t)json_object_get_int_member(o, "revision") ==
	       (item ? item->revision : 0);
}

static void transact(struct link *l, JsonObject *body)
{
	JsonArray *rows = json_object_get_array_member(body, "precondition");
	JsonArray *keys = json_object_get_array_member(body, "setKeys");
	GString *out = g_string_new("{\"items\":[");
	unsigned i;

	for (i = 0; i < json_array_get_length(rows); i++) {
		JsonObject *o = json_array_get_object_element(rows, i);
		const struct item *item =
			find_item(json_object_get_string_member(o, "key"));

		if (is_as_expected(o))
			continue;
		if (item)
			put_item(out, item);
		g_string_append_printf(out, "],\"at\":%" G_GUINT64_FORMAT "}",
				       sim.revision);
		answer_http(l, 412, out->str);
		g_string_free(out, TRUE);
		return;
	}
	sim.revision++;
	for (i = 0; i < json_array_get_length(keys); i++) {
		JsonObject *o = json_array_get_object_element(keys, i);
		gsize len;
		guchar *data = g_base64_decode(
			json_object_get_string_member(o, "value"), &len);
		GBytes *value = g_bytes_new_take(data, len);

		set_item(json_object_get_string_member(o, "key"), value,
			 json_object_get_int_member(o, "leaseId"));
		g_bytes_unref(value);
	}
	g_string_printf(out, "{\"revision\":%" G_GUINT64_FORMAT "}",
			sim.revision);
	answer_http(l, 200, out->str);
	g_string_free(out, TRUE);
}

static void end_lease(int64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	unsigned i;

	for (i = 0; i < sim.items->len; i++) {
		const struct item *item = g_ptr_array_index(sim.items, i);

		if (id && item->lease == id)
			g_ptr_array_add(keys, g_strdup(item->key));
	}
	for (i = 0; i < keys->len; i++)
		store_put(g_ptr_array_index(keys, i), NULL, 0);
	g_ptr_array_free(keys, TRUE);
}

static struct server *find_server(const char *id)
{
	unsigned i;

	for (i = 0; i < sim.servers->len; i++) {
		struct server *s = g_ptr_array_index(sim.servers, i);

		if (!strcmp(s->id, id))
			return s;
	}
	return NULL;
}

static uint64_t top_term(void)
{
	uint64_t term = 0;
	unsigned i;

	for (i = 0; i < sim.servers->len; i++)
		term = MAX(term,
			   ((struct server *)g_ptr_array_index(sim.servers, i))
				   ->term);
	return term;
}

/* Takes the log of the primary, and follows it. */
static void follow(struct server *s, const struct server *leader)
{
	s->leads = false;
	s->term = leader->term;
	s->held = 0;
	g_array_set_size(s->log, 0);
	g_array_append_vals(s->log, leader->log->data, leader->log->len);
	server_list(s);
}

static void on_promoted(void *data)
{
	struct server *s = data;
	unsigned i;

	if (s->down || s->leads)
		return;
	s->term = top_term() + 1;
	s->leads = true;
	s->held = 0;
	servers_promoted = s;
	sim_record("%s leads term %" G_GUINT64_FORMAT " with %u commits", s->id,
		   s->term, s->log->len);
	server_list(s);
	for (i = 0; i < sim.servers->len; i++) {
		struct server *other = g_ptr_array_index(sim.servers, i);

		if (other != s && !other->down && !other->leads)
			follow(other, s);
	}
}

static void promote(struct link *l, JsonObject *body, const char *head)
{
	const char *id = json_object_get_string_member(body, "id");
	struct server *s = find_server(id);
	const char *token = strcasestr(head, "X-Fencing-Token:");
	uint64_t number =
		token ? g_ascii_strtoull(token + strlen("X-Fencing-Token:"),
					 NULL, 10) :
			0;

	sim_record("POST /promotions: %s, token %" G_GUINT64_FORMAT "%s", id,
		   number, number < sim.token ? ", lower than before" : "");
	sim.token = MAX(sim.token, number);
	if (!s || s->down) {
		answer_http(l, 409, "{}");
		return;
	}
	if (!s->leads)
		sim_at(sim_now() + PROMOTE_US, on_promoted, s);
	answer_http(l, 200, "{}");
}

static void take_request(struct link *l, const char *head, const char *path,
			 JsonObject *body)
{
	char text[64];

	if (g_str_has_prefix(path, "/api/kv-range")) {
		answer_range(l, path);
	} else if (g_str_has_prefix(path, "/api/kv-watch")) {
		begin_watch(l, path);
	} else if (g_str_has_prefix(path, "/api/kv-key")) {
		char *key = query_of(path, "key");
		const struct item *item = find_item(key);
		GString *out = g_string_new(NULL);

		if (item) {
			put_item(out, item);
			g_string_truncate(out, out->len - 1);
			g_string_append_printf(out,
					       ",\"at\":%" G_GUINT64_FORMAT "}",
					       sim.revision);
		}
		answer_http(l, item ? 200 : 404, item ? out->str : "{}");
		g_string_free(out, TRUE);
		g_free(key);
	} else if (!strcmp(path, "/api/kv-txn") && body) {
		transact(l, body);
	} else if (!strcmp(path, "/api/kv-lease")) {
		g_snprintf(text, sizeof(text),
			   "{\"leaseId\":%" G_GINT64_FORMAT ",\"ttlMs\":60000}",
			   ++sim.n_leases);
		answer_http(l, 200, text);
	} else if (g_str_has_prefix(path, "/api/kv-keep/")) {
		answer_http(l, 200, "{}");
	} else if (g_str_has_prefix(path, "/api/kv-lease-end/")) {
		end_lease(g_ascii_strtoll(path + strlen("/api/kv-lease-end/"),
					  NULL, 10));
		answer_http(l, 200, "{}");
	} else if (!strcmp(path, "/promotions") && body) {
		promote(l, body, head);
	} else {
		answer_http(l, 404, "{}");
	}
}

/* Handles the requests that have arrived whole. */
static void read_http(struct link *l)
{
	char *end;

	while (!l->closed && (end = strstr(l->in->str, "\r\n\r\n"))) {
		size_t head_len = (size_t)(end - l->in->str) + 4;
		char *head = g_strndup(l->in->str, head_len);
		const char *length = strcasestr(head, "Content-Length:");
		size_t len = length ?
				     strtoul(length + strlen("Content-Length:"),
					     NULL, 10) :
				     0;
		JsonParser *parser = json_parser_new();
		char **words;

		if (l->in->len < head_len + len) {
			g_object_unref(parser);
			g_free(head);
			return;
		}
		words = g_strsplit(head, " ", 3);
		if (len)
			json_parser_load_from_data(parser,
						   l->in->str + head_len,
						   (gssize)len, NULL);
		take_request(l, head, words[1] ? words[1] : "",
			     json_parser_get_root(parser) ?
				     json_node_get_object(
					     json_parser_get_root(parser)) :
				     NULL);
		g_strfreev(words);
		g_object_unref(parser);
		g_free(head);
		g_string_erase(l->in, 0, (gssize)(head_len + len));
	}
}

/* Servers. */

bool server_has(const struct server *s, unsigned commit)
{
	unsigned i;

	for (i = 0; i < s->log->len; i++)
		if (g_array_index(s->log, unsigned, i) == commit)
			return true;
	return false;
}

void server_list(struct server *s)
{
	char *key = g_strconcat("servers/", s->id, NULL);
	char *value = g_strdup_printf(
		"{\"service\":\"db\",\"address\":\"127.0.0.1:%u\","
		"\"zone\":\"hall-a\",\"version\":\"v1\",\"capacity\":3,"
		"\"state\":\"%s\",\"coldRemainingMs\":0,\"dbRole\":\"%s\","
		"\"seq\":%u}",
		s->port, s->draining ? "draining" : "ready",
		s->leads ? "primary" : "replica", ++sim.sequence);

	if (!s->down)
		store_put(key, value, -1);
	g_free(value);
	g_free(key);
}

struct server *server_add(const char *id, bool leads)
{
	struct server *s = g_new0(struct server, 1);

	g_strlcpy(s->id, id, sizeof(s->id));
	s->leads = leads;
	s->term = 1;
	s->log = g_array_new(FALSE, FALSE, sizeof(unsigned));
	add_listener(listen_on("127.0.0.1", &s->port), SERVER_CONN, s);
	g_ptr_array_add(sim.servers, s);
	server_list(s);
	return s;
}

static void on_lapsed(void *data)
{
	struct server *s = data;
	char *key = g_strconcat("servers/", s->id, NULL);

	if (s->down) {
		sim_record("the entry of %s is removed", s->id);
		store_put(key, NULL, 0);
	}
	g_free(key);
}

void server_crash(struct server *s)
{
	unsigned i;

	sim_record("%s crashes", s->id);
	s->down = true;
	for (i = 0; i < sim.listeners->len; i++) {
		struct listener *l =
			&g_array_index(sim.listeners, struct listener, i);

		if (l->owner == s) {
			close(l->fd);
			g_array_remove_index(sim.listeners, i);
			break;
		}
	}
	for (i = 0; i < sim.links->len; i++) {
		struct link *l = g_ptr_array_index(sim.links, i);

		if (l->kind == SERVER_CONN && l->owner == s)
			link_close(l, true);
	}
	sim_at(sim_now() + 3 * HEARTBEAT_US, on_lapsed, s);
}

static void put_ready(struct link *l)
{
	const struct server *s = l->owner;

	put(l, "READY %c %" G_GUINT64_FORMAT ".%u\r\n", l->state, s->term,
	    s->log->len);
}

static void put_status(struct link *l)
{
	const struct server *s = l->owner;
	unsigned i, n = 0;

	for (i = 0; i < sim.links->len; i++) {
		const struct link *other = g_ptr_array_index(sim.links, i);

		n += !other->closed && other->owner == s && other->started;
	}
	put(l,
	    "DATAROW %s %" G_GUINT64_FORMAT " %" G_GUINT64_FORMAT
	    ".%u %" G_GUINT64_FORMAT " 20 0 %u\r\nCOMPLETE -\r\n",
	    s->leads ? "primary" : "replica", s->term, s->term, s->log->len,
	    s->held, n);
	put_ready(l);
}

static bool order(struct link *l, const char *text)
{
	struct server *s = l->owner;
	uint64_t term = 0;

	if (!strncmp(text, "PAUSE ", 6)) {
		term = g_ascii_strtoull(text + 6, NULL, 10);
		if (!s->leads && term > s->term)
			s->held = MAX(s->held, term);
		sim_record("%s: PAUSE %" G_GUINT64_FORMAT, s->id, term);
	} else if (!strcmp(text, "RESUME")) {
		s->held = 0;
	} else if (!strncmp(text, "STEPDOWN ", 9)) {
		term = g_ascii_strtoull(text + 9, NULL, 10);
		if (s->leads && term > s->term) {
			s->leads = false;
			server_list(s);
		}
		sim_record("%s: STEPDOWN %" G_GUINT64_FORMAT, s->id, term);
	} else if (strcmp(text, "STATUS")) {
		return false;
	}
	put_status(l);
	return true;
}

/* A commit that waits to be received by replicas and to be answered. */
struct pending {
	struct link *link;
	struct server *server;
	unsigned number;
	char *id;
};

static unsigned n_received(const struct pending *p)
{
	unsigned i, n = 0;

	for (i = 0; i < sim.servers->len; i++) {
		const struct server *s = g_ptr_array_index(sim.servers, i);

		n += s != p->server && !s->down && server_has(s, p->number);
	}
	return n;
}

/* Replicas receive what they lack, in the order of the log. */
static void replicate(const struct server *leader)
{
	unsigned i;

	for (i = 0; i < sim.servers->len; i++) {
		struct server *s = g_ptr_array_index(sim.servers, i);

		if (s == leader || s->down || s->leads || s->held ||
		    s->receives_nothing || s->term != leader->term ||
		    s->log->len >= leader->log->len)
			continue;
		g_array_append_vals(s->log,
				    &g_array_index(leader->log, unsigned,
						   s->log->len),
				    leader->log->len - s->log->len);
	}
}

static void on_commit_received(void *data)
{
	struct pending *p = data;
	struct link *l = p->link;

	if (!p->server->down && p->server->leads)
		replicate(p->server);
	if (!l->closed && !p->server->down &&
	    n_received(p) < servers_sync_replicas) {
		sim_at(sim_now() + 5 * MS, on_commit_received, p);
		return;
	}
	if (!l->closed && !p->server->down) {
		put(l, "DATAROW ok\r\nCOMPLETE %s.%u\r\n", p->server->id,
		    p->number);
		put_ready(l);
	}
	l->pins--;
	g_free(p->id);
	g_free(p);
}

static void commit(struct link *l, const char *id)
{
	struct server *s = l->owner;
	struct pending *p = g_new0(struct pending, 1);
	struct commit c = { .id = g_strdup(id) };

	p->link = l;
	p->server = s;
	p->id = g_strdup(id);
	p->number = servers_commits->len;
	g_array_append_val(servers_commits, c);
	g_array_append_val(s->log, p->number);
	sim_record("%s commits %s as %" G_GUINT64_FORMAT ".%u", s->id, id,
		   s->term, s->log->len);
	l->pins++;
	sim_at(sim_now() + RECEIVE_US, on_commit_received, p);
}

struct work {
	struct link *link;
	char *id;
	char *text;
};

static void refuse(struct link *l, const char *code)
{
	const struct server *s = l->owner;

	if (l->state == 'T')
		l->state = 'E';
	put(l, "ERROR %s %s\r\n", code, s->id);
	put_ready(l);
}

static void on_worked(void *data)
{
	struct work *w = data;
	struct link *l = w->link;
	struct server *s = l->owner;

	l->pins--;
	if (l->closed || s->down)
		goto out;
	if (!strncmp(w->text, "WRITE ", 6)) {
		if (!s->leads)
			refuse(l, "READONLY");
		else
			commit(l, w->id);
	} else {
		sim_record("%s ran %s", s->id, w->id);
		put(l, "DATAROW row\r\nCOMPLETE %s.%s\r\n", s->id, w->id);
		put_ready(l);
	}
out:
	g_free(w->id);
	g_free(w->text);
	g_free(w);
}

/* "READ slow-N" takes N ms at the server. */
static uint64_t work_us(const char *text)
{
	if (!strncmp(text, "READ slow-", 10))
		return g_ascii_strtoull(text + 10, NULL, 10) * MS;
	return WORK_US;
}

static bool lacks(const struct server *s, const char *position)
{
	char *dot;
	uint64_t term = g_ascii_strtoull(position, &dot, 10);
	uint64_t number = *dot ? g_ascii_strtoull(dot + 1, NULL, 10) : 0;

	return term > s->term || (term == s->term && number > s->log->len);
}

static void run_query(struct link *l, const char *id, const char *text)
{
	struct server *s = l->owner;
	struct work *w;

	if (order(l, text))
		return;
	if (g_str_has_prefix(text, "AFTERLSN ")) {
		const char *rest = strchr(text + 9, ' ');

		if (lacks(s, text + 9)) {
			refuse(l, "LAGGING");
			return;
		}
		text = rest ? rest + 1 : "";
	}
	if (!strncmp(text, "READ ", 5) || !strncmp(text, "WRITE ", 6)) {
		w = g_new0(struct work, 1);
		w->link = l;
		w->id = g_strdup(id);
		w->text = g_strdup(text);
		if (strcmp(id, "-"))
			sim_record("%s is sent %s: %s", s->id, id, text);
		l->pins++;
		sim_at(sim_now() + work_us(text), on_worked, w);
		return;
	}
	/* SET, PREPARE, RESET and the like need no server's state here. */
	put(l, "COMPLETE -\r\n");
	put_ready(l);
}

static void take_server_line(struct link *l, char *line)
{
	struct server *s = l->owner;
	char **words;

	if (!strcmp(line, "TERMINATE")) {
		link_close(l, false);
		return;
	}
	words = g_strsplit(line, " ", l->started ? 3 : 4);
	if (!l->started) {
		if (g_strv_length(words) < 3 || strcmp(words[1], "db") ||
		    (words[3] && strcmp(words[3], s->id))) {
			put(l, "ERROR MOVED\r\n");
			l->close_after = true;
		} else {
			l->started = true;
			put_ready(l);
		}
	} else if (g_strv_length(words) == 3) {
		run_query(l, words[1], words[2]);
	}
	g_strfreev(words);
}

/* The configuration. */

void config_put(unsigned version, unsigned timeout_ms)
{
	static const char *const types[] = { "primary", "bounded_staleness",
					     "read_your_writes" };
	GString *out = g_string_new(NULL);
	unsigned i;

	g_string_printf(out, "{\"version\":%u,\"routes\":[", version);
	for (i = 0; i < G_N_ELEMENTS(types); i++)
		g_string_append_printf(
			out,
			"%s{\"name\":\"r-%u\",\"databaseName\":\"%s\","
			"\"prefix\":\"/\",\"type\":\"%s\",\"timeoutMs\":%u,"
			"\"targetLatencyMs\":%u,\"priority\":1,"
			"\"service\":\"db\",\"maxAttempts\":2,"
			"\"maxStalenessMs\":1500}",
			i ? "," : "", i, types[i], types[i], timeout_ms,
			timeout_ms / 2);
	g_string_append_printf(
		out,
		"],\"services\":[{\"name\":\"db\",\"healthPath\":\"/healthz\","
		"\"maxConns\":22,\"protocol\":\"h1\",\"tls\":false,"
		"\"syncReplicas\":%u}],\"limits\":{\"maxHeaderBytes\":16384,"
		"\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
		"\"idleTimeoutMs\":15000,\"txIdleMs\":3000}}",
		servers_sync_replicas);
	store_put("op/config", out->str, -1);
	g_string_free(out, TRUE);
}

/* Proxies. */

static void write_settings(struct proxy *p)
{
	char *text = g_strdup_printf(
		"{\"relay\":{\"driver\":\"kv\",\"name\":\"%s\","
		"\"zone\":\"hall-a\",\"log_level\":\"info\","
		"\"log_decisions\":true},\"driver\":{"
		"\"callers\":\"%s:8784\",\"peers\":\"%s:7440\","
		"\"feed\":\"%s:7455\",\"mbps\":1000.0,\"cpu\":0.25,"
		"\"readiness\":\"%s:8785\",\"metrics\":\"%s:9464\","
		"\"store\":\"127.0.0.1:%u\",\"control\":\"127.0.0.1:%u\","
		"\"contracts\":[\"base\",\"drain\",\"config\",\"cost\","
		"\"recover\",\"sql\",\"platform\"],"
		"\"bounds\":{\"seedLagS\":3,\"addrReuseS\":2,"
		"\"stableWindowMs\":4000,\"ackTimeoutMs\":5000,\"catchUpS\":4,"
		"\"drainMs\":7000,\"graceS\":6,\"lossSlackMs\":200,"
		"\"configApplyMs\":3000,\"downgradeSlackMs\":250,"
		"\"maxSkewMs\":12000,\"recoveryS\":12,"
		"\"enforceFencing\":false,\"thawSlackMs\":300}}}",
		p->name, p->address, p->address, p->address, p->address,
		p->address, sim.store_port, sim.store_port);

	p->settings = g_strdup_printf("%s/%s.json", sim.dir, p->name);
	if (!g_file_set_contents(p->settings, text, -1, NULL))
		sim_end(CASE_NOT_RUN, "no settings file could be written");
	g_free(text);
}

/* A loopback address of its own, so that all can have the same ports. */
struct proxy *proxy_add(const char *name)
{
	struct proxy *p = g_new0(struct proxy, 1);
	unsigned pid = (unsigned)getpid();

	g_strlcpy(p->name, name, sizeof(p->name));
	g_snprintf(p->address, sizeof(p->address), "127.%u.%u.%u",
		   64 + (pid >> 8) % 128, pid % 256, 10 + sim.proxies->len);
	write_settings(p);
	g_ptr_array_add(sim.proxies, p);
	return p;
}

void proxy_start(struct proxy *p)
{
	char *log = g_strdup_printf("%s/%s.log", sim.dir, p->name);
	int fd;

	p->stopping = false;
	p->misses = MISSES_MAX;
	p->pid = fork();
	if (p->pid < 0)
		sim_end(CASE_NOT_RUN, "no process could be started");
	if (p->pid) {
		sim_record("%s is started", p->name);
		g_free(log);
		return;
	}
	fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);
	if (fd >= 0) {
		dup2(fd, STDOUT_FILENO);
		dup2(fd, STDERR_FILENO);
	}
	execl("target/bin/celeryquayd", "target/bin/celeryquayd", "--settings",
	      p->settings, (char *)NULL);
	_exit(127);
}

static void on_restart(void *data)
{
	proxy_start(data);
}

static void on_grace_over(void *data)
{
	struct proxy *p = data;

	if (p->pid && p->stopping) {
		sim_record("%s gets SIGKILL", p->name);
		kill(p->pid, SIGKILL);
	}
}

void proxy_stop(struct proxy *p)
{
	sim_record("%s gets SIGTERM", p->name);
	p->stopping = true;
	kill(p->pid, SIGTERM);
	sim_at(sim_now() + GRACE_US, on_grace_over, p);
}

static void watch_processes(void)
{
	unsigned i;

	for (i = 0; i < sim.proxies->len; i++) {
		struct proxy *p = g_ptr_array_index(sim.proxies, i);
		int status;

		if (!p->pid || waitpid(p->pid, &status, WNOHANG) != p->pid)
			continue;
		p->pid = 0;
		p->misses = MISSES_MAX;
		if (WIFSIGNALED(status))
			sim_record("%s ended by signal %d", p->name,
				   WTERMSIG(status));
		else
			sim_record("%s ended with code %d", p->name,
				   WEXITSTATUS(status));
		if (!p->stopping) {
			p->n_ended++;
			sim_at(sim_now() + RESTART_US, on_restart, p);
		}
	}
}

static void on_question(void *data)
{
	struct proxy *p = data;
	struct link *l = link_connect(p->address, 8785, QUESTION_CONN, p);

	p->asked_us = sim_now();
	sim_at(sim_now() + BALANCER_US, on_question, p);
	if (!l) {
		p->misses++;
		return;
	}
	put(l, "GET /api/readyz HTTP/1.1\r\nHost: proxy\r\n"
	       "Connection: close\r\n\r\n");
}

bool proxies_are_ready(void)
{
	unsigned i;

	for (i = 0; i < sim.proxies->len; i++) {
		const struct proxy *p = g_ptr_array_index(sim.proxies, i);

		if (!p->pid || p->misses)
			return false;
	}
	return true;
}

/* Callers. */

struct caller *caller_open(struct proxy *p, const char *database,
			   const char *name)
{
	struct caller *c = g_new0(struct caller, 1);
	struct link *l = link_connect(p->address, 8784, CALLER_CONN, c);

	c->proxy = p;
	g_strlcpy(c->name, name, sizeof(c->name));
	c->answer = g_string_new(NULL);
	c->link = l;
	c->ended = !l;
	if (l) {
		l->pins++; /* the caller refers to it */
		put(l, "STARTUP %s %s\r\n", database, name);
	}
	return c;
}

void caller_send(struct caller *c, const char *text)
{
	if (c->ended || c->waiting)
		return;
	g_snprintf(c->id, sizeof(c->id), "%s-%u", c->name, ++c->n_sent);
	c->waiting = true;
	c->sent_us = sim_now();
	g_string_truncate(c->answer, 0);
	sim_record("%s sends %s to %s: %s", c->name, c->id, c->proxy->name,
		   text);
	put(c->link, "QUERY %s %s\r\n", c->id, text);
}

void caller_close(struct caller *c)
{
	if (!c->ended)
		link_close(c->link, false);
	c->ended = true;
}

static void note_acked(const struct caller *c)
{
	unsigned i;

	for (i = 1; i < servers_commits->len; i++) {
		struct commit *commit =
			&g_array_index(servers_commits, struct commit, i);

		if (strcmp(commit->id, c->id))
			continue;
		commit->acked = true;
		commit->acked_us = sim_now();
	}
}

static void take_caller_line(struct caller *c, const char *line)
{
	if (!c->open) {
		c->open = !strncmp(line, "READY", 5);
		if (c->open && c->on_answer)
			c->on_answer(c);
		return;
	}
	if (!strncmp(line, "COMPLETE", 8))
		g_strlcpy(c->code, "COMPLETE", sizeof(c->code));
	if (!strncmp(line, "ERROR ", 6)) {
		g_strlcpy(c->code, line + 6, sizeof(c->code));
		if (strchr(c->code, ' '))
			*strchr(c->code, ' ') = '\0';
	}
	if (strncmp(line, "READY", 5))
		return;
	c->waiting = false;
	sim_record("%s gets the answer to %s: %s", c->name, c->id, c->code);
	if (!strcmp(c->code, "COMPLETE"))
		note_acked(c);
	if (c->on_answer)
		c->on_answer(c);
}

/* The loop. */

static void read_lines(struct link *l)
{
	char *end;

	while (!l->closed && (end = strstr(l->in->str, "\r\n"))) {
		char *line = g_strndup(l->in->str, (size_t)(end - l->in->str));

		g_string_erase(l->in, 0, end - l->in->str + 2);
		if (l->kind == SERVER_CONN)
			take_server_line(l, line);
		else
			take_caller_line(l->owner, line);
		g_free(line);
	}
}

static void on_link_ended(struct link *l)
{
	struct proxy *p = l->owner;

	link_close(l, false);
	if (l->kind == QUESTION_CONN) {
		bool good = g_str_has_prefix(l->in->str, "HTTP/1.1 200");

		p->misses = good ? 0 : p->misses + 1;
	} else if (l->kind == CALLER_CONN) {
		struct caller *c = l->owner;

		c->ended = true;
		c->ended_us = sim_now();
		sim_record("the connection of %s ends%s%s", c->name,
			   c->waiting ? ", without an answer to " : "",
			   c->waiting ? c->id : "");
	}
}

static void read_link(struct link *l)
{
	char space[65536];
	ssize_t n = recv(l->fd, space, sizeof(space), 0);

	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		on_link_ended(l);
		return;
	}
	g_string_append_len(l->in, space, n);
	if (l->kind == STORE_CONN)
		read_http(l);
	else if (l->kind != QUESTION_CONN)
		read_lines(l);
}

static void write_link(struct link *l)
{
	ssize_t n = send(l->fd, l->out->str, l->out->len, MSG_NOSIGNAL);

	if (n > 0)
		g_string_erase(l->out, 0, n);
	else if (errno != EAGAIN && errno != EINTR && errno != ENOTCONN)
		on_link_ended(l);
	if (!l->closed && l->close_after && !l->out->len)
		link_close(l, false);
}

static void accept_on(const struct listener *l)
{
	int fd = accept4(l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0)
		link_new(fd, l->kind, l->owner);
}

static void drop_closed(void)
{
	unsigned i = 0;

	while (i < sim.links->len) {
		struct link *l = g_ptr_array_index(sim.links, i);

		if (!l->closed || l->pins) {
			i++;
			continue;
		}
		g_ptr_array_remove_index_fast(sim.links, i);
		g_string_free(l->in, TRUE);
		g_string_free(l->out, TRUE);
		g_free(l);
	}
}

static void poll_once(void)
{
	unsigned n_listeners = sim.listeners->len, n_links = sim.links->len, i;
	unsigned n = n_listeners + n_links;
	struct pollfd *fds = g_new0(struct pollfd, n);

	for (i = 0; i < n_listeners; i++) {
		fds[i].fd = g_array_index(sim.listeners, struct listener, i).fd;
		fds[i].events = POLLIN;
	}
	for (i = 0; i < n_links; i++) {
		const struct link *l = g_ptr_array_index(sim.links, i);

		fds[n_listeners + i].fd = l->closed ? -1 : l->fd;
		fds[n_listeners + i].events =
			(short)(POLLIN | (l->out->len ? POLLOUT : 0));
	}
	poll(fds, n, POLL_MS);
	for (i = 0; i < n_links; i++) {
		struct link *l = g_ptr_array_index(sim.links, i);
		short events = fds[n_listeners + i].revents;

		if (!l->closed && (events & (POLLIN | POLLHUP | POLLERR)))
			read_link(l);
		if (!l->closed && l->out->len && (events & POLLOUT))
			write_link(l);
	}
	/* A server that crashed meanwhile has closed its listener. */
	for (i = 0; i < n_listeners && i < sim.listeners->len; i++)
		if ((fds[i].revents & POLLIN) &&
		    g_array_index(sim.listeners, struct listener, i).fd ==
			    fds[i].fd)
			accept_on(&g_array_index(sim.listeners, struct listener,
						 i));
	g_free(fds);
}

void sim_run_until(uint64_t at_us)
{
	while (sim_now() < at_us) {
		poll_once();
		watch_processes();
		run_timers();
		run_watches();
		drop_closed();
	}
}

void sim_init(const char *folder)
{
	char *path = g_strconcat(folder, "/record.txt", NULL);
	struct commit none = { .id = g_strdup("") };

	signal(SIGPIPE, SIG_IGN);
	sim.start_us = clock_us();
	sim.record = fopen(path, "we");
	sim.dir = g_dir_make_tmp("review-XXXXXX", NULL);
	if (!sim.record || !sim.dir)
		exit(CASE_NOT_RUN);
	g_free(path);
	sim.links = g_ptr_array_new();
	sim.listeners = g_array_new(FALSE, FALSE, sizeof(struct listener));
	sim.timers = g_ptr_array_new();
	sim.revision = FIRST_REVISION;
	sim.items = g_ptr_array_new();
	sim.events = g_ptr_array_new();
	sim.watches = g_ptr_array_new();
	sim.servers = g_ptr_array_new();
	sim.proxies = g_ptr_array_new();
	servers_commits = g_array_new(FALSE, TRUE, sizeof(struct commit));
	g_array_append_val(servers_commits, none);
	add_listener(listen_on("127.0.0.1", &sim.store_port), STORE_CONN, NULL);
}

static void on_begin_questions(void *data)
{
	on_question(data);
}

void sim_start_proxies(void)
{
	unsigned i;

	for (i = 0; i < sim.proxies->len; i++) {
		struct proxy *p = g_ptr_array_index(sim.proxies, i);

		proxy_start(p);
		sim_at(sim_now() + 300 * MS, on_begin_questions, p);
	}
	while (!proxies_are_ready()) {
		if (sim_now() > 20 * SEC)
			sim_end(CASE_NOT_RUN, "not all proxies got ready");
		sim_run_until(sim_now() + 50 * MS);
	}
	sim_record("all proxies are ready");
}

/* Removes the proxies' settings and logs. */
static void remove_files(void)
{
	unsigned i;

	for (i = 0; i < sim.proxies->len; i++) {
		const struct proxy *p = g_ptr_array_index(sim.proxies, i);
		char *log = g_strdup_printf("%s/%s.log", sim.dir, p->name);

		unlink(p->settings);
		unlink(log);
		g_free(log);
	}
	rmdir(sim.dir);
}

void sim_end(int code, const char *why)
{
	static const char *const words[] = { "held", "BROKEN", "not run" };
	unsigned i;

	sim_record("%s: %s", words[code], why);
	for (i = 0; sim.proxies && i < sim.proxies->len; i++) {
		struct proxy *p = g_ptr_array_index(sim.proxies, i);

		if (!p->pid)
			continue;
		kill(p->pid, SIGKILL);
		waitpid(p->pid, NULL, 0);
	}
	/* The logs say more: they stay where REVIEW_KEEP is set. */
	if (sim.proxies && !g_getenv("REVIEW_KEEP"))
		remove_files();
	printf("%s: %s\n", words[code], why);
	exit(code);
}
