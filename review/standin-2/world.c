#define _GNU_SOURCE
#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT_CALLERS 8784
#define PORT_READY 8785
#define PORT_STORE 8783 /* and one more for each proxy */
#define PORT_CONTROL 8883 /* and one more for each proxy */
#define PORT_SERVER 8080
#define PORT_PEERS 7440
#define HEARTBEAT_MS 1200
#define ENTRY_EXPIRES_MS (3 * HEARTBEAT_MS)
#define FOLLOW_MS 1000 /* an old primary follows a new one after that */
#define WORK_MS 3 /* of a read, a write or a commit */
#define APPLY_MS 10 /* from the receipt of a commit until it is applied */
#define SYNC_WAIT_MS 5000 /* for a replica to receive a commit */
#define CASE_MAX_S 115 /* a case may run for 120 s */
#define RESEND_S 0.2018 /* 0.2 s and 1.8 ms between two zones and back */
#define RESTART_MS 300 /* a process that ended starts again after that */
#define COMMITS_MAX 200000
#define ITEMS_MAX 4096
#define EVENTS_MAX 65536
#define LINE_MAX_BYTES ((size_t)1 << 20)

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct world_options opt;
static double started_s;
static FILE *record_file;
static char dir[256];
static char net[16]; /* "127.A.B" */
static bool ending;

static double clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

double world_now_s(void)
{
	return clock_s() - started_s;
}

void world_sleep_ms(unsigned ms)
{
	struct timespec t = { ms / 1000, (long)(ms % 1000) * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

void world_sleep_until(double at_s)
{
	while (world_now_s() < at_s)
		world_sleep_ms(5);
}

void record(const char *format, ...)
{
	static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%9.3f ", world_now_s());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void fail(const char *what)
{
	fprintf(stderr, "the case could not run: %s: %s\n", what,
		strerror(errno));
	if (record_file)
		record("the case could not run: %s", what);
	world_end(2);
}

bool world_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0");
}

/* Sockets. */

static struct sockaddr_in address(const char *host, unsigned port)
{
	struct sockaddr_in in = { .sin_family = AF_INET,
				  .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, host, &in.sin_addr);
	return in;
}

static int listen_at(const char *host, unsigned port)
{
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in in = address(host, port);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&in, sizeof(in)) || listen(fd, 512)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *host, unsigned port)
{
	int one = 1, fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct sockaddr_in in = address(host, port);

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (!connect(fd, (struct sockaddr *)&in, sizeof(in)))
		return fd;
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *data, size_t len)
{
	while (len) {
		ssize_t n = send(fd, data, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		data += n;
		len -= (size_t)n;
	}
	return true;
}

/* Closes so that the other end sees a reset. */
static void close_reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

struct acceptor {
	int fd;
	void (*serve)(int fd, void *ctx);
	void *ctx;
};

struct accepted {
	struct acceptor *by;
	int fd;
};

static void *run_accepted(void *data)
{
	struct accepted *a = data;

	a->by->serve(a->fd, a->by->ctx);
	free(a);
	return NULL;
}

static void start_thread(void *(*run)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t id;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&id, &attr, run, data))
		fail("a thread");
	pthread_attr_destroy(&attr);
}

static void *run_acceptor(void *data)
{
	struct acceptor *a = data;

	for (;;) {
		int one = 1, fd = accept4(a->fd, NULL, NULL, SOCK_CLOEXEC);
		struct accepted *c;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->by = a;
		c->fd = fd;
		start_thread(run_accepted, c);
	}
	return NULL;
}

static void serve_at(const char *host, unsigned port,
		     void (*serve)(int fd, void *ctx), void *ctx)
{
	struct acceptor *a = calloc(1, sizeof(*a));

	a->fd = listen_at(host, port);
	a->serve = serve;
	a->ctx = ctx;
	if (a->fd < 0)
		fail("a port");
	start_thread(run_acceptor, a);
}

/* HTTP. */

struct request {
	char method[8];
	char path[64];
	char query[512];
	char *head;
	char *body;
	size_t body_len;
};

struct reader {
	int fd;
	char *data;
	size_t len, size;
};

static bool read_more(struct reader *r)
{
	ssize_t n;

	if (r->size - r->len < 65536) {
		r->size = r->size * 2 + 131072;
		r->data = realloc(r->data, r->size);
	}
	do
		n = recv(r->fd, r->data + r->len, r->size - r->len - 1, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return false;
	r->len += (size_t)n;
	r->data[r->len] = '\0';
	return true;
}

static void drop_front(struct reader *r, size_t n)
{
	memmove(r->data, r->data + n, r->len - n);
	r->len -= n;
	r->data[r->len] = '\0';
}

static void request_free(struct request *q)
{
	free(q->head);
	free(q->body);
}

static bool read_request(struct reader *r, struct request *q)
{
	size_t head_len, body_len = 0;
	char *end, *mark;

	memset(q, 0, sizeof(*q));
	while (!r->len || !(end = strstr(r->data, "\r\n\r\n")))
		if (!read_more(r))
			return false;
	head_len = (size_t)(end - r->data) + 4;
	q->head = strndup(r->data, head_len);
	mark = strcasestr(q->head, "\r\nContent-Length:");
	if (mark)
		body_len = strtoul(mark + 17, NULL, 10);
	while (r->len < head_len + body_len)
		if (!read_more(r)) {
			request_free(q);
			return false;
		}
	q->body = strndup(r->data + head_len, body_len);
	q->body_len = body_len;
	drop_front(r, head_len + body_len);
	sscanf(q->head, "%7s %63[^? ]", q->method, q->path);
	mark = strchr(q->head, '?');
	end = strstr(q->head, "\r\n");
	if (mark && mark < end)
		sscanf(mark + 1, "%511[^ \r]", q->query);
	return true;
}

static bool answer(int fd, int status, const char *body, size_t len)
{
	char head[160];
	int n = snprintf(head, sizeof(head),
			 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n",
			 status, len);

	return send_all(fd, head, (size_t)n) && send_all(fd, body, len);
}

static int hex(char c)
{
	return c <= '9' ? c - '0' : (c | 32) - 'a' + 10;
}

/* A parameter of the query, decoded. */
static void parameter(const struct request *q, const char *name, char *out,
		      size_t size)
{
	const char *p = q->query;
	size_t n = strlen(name), len = 0;

	out[0] = '\0';
	while (p && *p && (strncmp(p, name, n) || p[n] != '='))
		p = strchr(p, '&') ? strchr(p, '&') + 1 : NULL;
	if (!p || !*p)
		return;
	for (p += n + 1; *p && *p != '&' && len + 1 < size; p++) {
		if (*p == '%' && p[1] && p[2]) {
			out[len++] = (char)(hex(p[1]) * 16 + hex(p[2]));
			p += 2;
		} else {
			out[len++] = *p;
		}
	}
	out[len] = '\0';
}

/* A growing text. */
struct text {
	char *data;
	size_t len, size;
};

static void put_bytes(struct text *t, const char *data, size_t len)
{
	if (t->len + len + 1 > t->size) {
		t->size = (t->len + len + 1) * 2;
		t->data = realloc(t->data, t->size);
	}
	memcpy(t->data + t->len, data, len);
	t->len += len;
	t->data[t->len] = '\0';
}

static void put(struct text *t, const char *format, ...)
{
	char part[1024];
	va_list args;
	int n;

	va_start(args, format);
	n = vsnprintf(part, sizeof(part), format, args);
	va_end(args);
	put_bytes(t, part, (size_t)n);
}

static char *base64(const unsigned char *in, size_t len)
{
	static const char map[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnop"
				  "qrstuvwxyz0123456789+/";
	char *out = malloc(len / 3 * 4 + 8), *o = out;
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned v = (unsigned)in[i] << 16;

		if (i + 1 < len)
			v |= (unsigned)in[i + 1] << 8;
		if (i + 2 < len)
			v |= in[i + 2];
		*o++ = map[v >> 18];
		*o++ = map[v >> 12 & 63];
		*o++ = i + 1 < len ? map[v >> 6 & 63] : '=';
		*o++ = i + 2 < len ? map[v & 63] : '=';
	}
	*o = '\0';
	return out;
}

/* The way between a proxy and the platform: the store, the promotion call. */
struct path {
	bool cut;
	double cut_s;
};

static struct path paths[WORLD_PROXIES_MAX];
static bool cut_next_caller;
static char held_target[32];

bool platform_is_cut(unsigned p)
{
	bool cut;

	pthread_mutex_lock(&lock);
	cut = paths[p].cut;
	pthread_mutex_unlock(&lock);
	return cut;
}

static void await_heal(unsigned p)
{
	while (platform_is_cut(p))
		world_sleep_ms(5);
}

/* The store; values are kept as they are sent, in base64. */

struct item {
	char key[204];
	char *value;
	uint64_t revision, created;
	long lease;
};

struct event {
	uint64_t revision;
	char key[204];
	char *value; /* NULL: deleted */
	uint64_t created;
	long lease;
};

struct lease {
	long id;
	double ends_s;
	double ttl_s;
};

static struct item items[ITEMS_MAX];
static unsigned n_items;
static struct event events[EVENTS_MAX];
static unsigned n_events;
static struct lease leases[ITEMS_MAX];
static unsigned n_leases;
static uint64_t revision = 100;

static struct item *find_item(const char *key)
{
	unsigned i;

	for (i = 0; i < n_items; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void add_event(const struct item *it, bool deleted)
{
	struct event *e = &events[n_events++];

	if (n_events == EVENTS_MAX)
		fail("the store's history is full");
	e->revision = revision;
	strcpy(e->key, it->key);
	e->value = deleted ? NULL : strdup(it->value);
	e->created = it->created;
	e->lease = it->lease;
}

static void set_item(const char *key, char *value, long lease)
{
	struct item *it = find_item(key);

	if (!it) {
		if (n_items == ITEMS_MAX)
			fail("the store is full");
		it = &items[n_items++];
		memset(it, 0, sizeof(*it));
		snprintf(it->key, sizeof(it->key), "%s", key);
		it->created = revision;
	}
	free(it->value);
	it->value = value;
	it->revision = revision;
	it->lease = lease;
	add_event(it, false);
}

static void delete_item(struct item *it)
{
	add_event(it, true);
	free(it->value);
	*it = items[--n_items];
}

uint64_t store_put(const char *key, const void *value, size_t len)
{
	uint64_t at;

	pthread_mutex_lock(&lock);
	at = ++revision;
	set_item(key, base64(value, len), 0);
	pthread_cond_broadcast(&changed);
	pthread_mutex_unlock(&lock);
	return at;
}

static void store_delete(const char *key)
{
	struct item *it;

	pthread_mutex_lock(&lock);
	it = find_item(key);
	if (it) {
		revision++;
		delete_item(it);
		pthread_cond_broadcast(&changed);
	}
	pthread_mutex_unlock(&lock);
}

static void put_item(struct text *t, const struct item *it)
{
	put(t, "{\"key\":\"%s\",\"value\":\"", it->key);
	put_bytes(t, it->value, strlen(it->value));
	put(t, "\",\"revision\":%lu,\"created\":%lu,\"leaseId\":%ld}",
	    (unsigned long)it->revision, (unsigned long)it->created, it->lease);
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
		      ((const struct item *)b)->key);
}

static void get_range(const struct request *q, struct text *out)
{
	char prefix[256], after[256];
	unsigned i, n = 0;
	bool more = false;

	parameter(q, "prefix", prefix, sizeof(prefix));
	parameter(q, "after", after, sizeof(after));
	qsort(items, n_items, sizeof(items[0]), compare_items);
	put(out, "{\"items\":[");
	for (i = 0; i < n_items; i++) {
		if (strncmp(items[i].key, prefix, strlen(prefix)) ||
		    strcmp(items[i].key, after) <= 0)
			continue;
		more = out->len > 1000000 || n == 500;
		if (more)
			break;
		if (n++)
			put(out, ",");
		put_item(out, &items[i]);
	}
	put(out, "],\"hasMore\":%s,\"at\":%lu}", more ? "true" : "false",
	    (unsigned long)revision);
}

static void put_events(const char *prefix, uint64_t after, struct text *out)
{
	unsigned i = n_events, n = 0;

	while (i && events[i - 1].revision > after)
		i--;
	put(out, "{\"events\":[");
	for (; i < n_events; i++) {
		const struct event *e = &events[i];
		struct item it = { .value = e->value,
				   .revision = e->revision,
				   .created = e->created,
				   .lease = e->lease };

		if (strncmp(e->key, prefix, strlen(prefix)))
			continue;
		if (n++)
			put(out, ",");
		strcpy(it.key, e->key);
		if (e->value)
			put_item(out, &it);
		else
			put(out,
			    "{\"key\":\"%s\",\"revision\":%lu,"
			    "\"deleted\":true}",
			    e->key, (unsigned long)e->revision);
	}
	put(out, "],\"at\":%lu}", (unsigned long)revision);
}

static bool has_event(const char *prefix, uint64_t after)
{
	unsigned i;

	for (i = n_events; i && events[i - 1].revision > after; i--)
		if (!strncmp(events[i - 1].key, prefix, strlen(prefix)))
			return true;
	return false;
}

static void get_watch(const struct request *q, unsigned p, struct text *out)
{
	char prefix[256], after[32], wait[32];
	double until_s;

	parameter(q, "prefix", prefix, sizeof(prefix));
	parameter(q, "after", after, sizeof(after));
	parameter(q, "waitMs", wait, sizeof(wait));
	until_s = clock_s() + atof(wait) / 1000;
	while (clock_s() < until_s && !paths[p].cut &&
	       !has_event(prefix, strtoull(after, NULL, 10))) {
		struct timespec t;

		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 20000000;
		if (t.tv_nsec >= 1000000000) {
			t.tv_sec++;
			t.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&changed, &lock, &t);
	}
	put_events(prefix, strtoull(after, NULL, 10), out);
}

/* The text of a string member that begins at or after `from`. */
static char *json_string(const char *from, const char *end, const char *name,
			 const char **next)
{
	char mark[40];
	const char *at, *stop;

	snprintf(mark, sizeof(mark), "\"%s\":\"", name);
	at = strstr(from, mark);
	if (!at || at >= end)
		return NULL;
	at += strlen(mark);
	stop = strchr(at, '"');
	if (next)
		*next = stop + 1;
	return strndup(at, (size_t)(stop - at));
}

static long long json_number(const char *from, const char *name)
{
	char mark[40];
	const char *at;

	snprintf(mark, sizeof(mark), "\"%s\":", name);
	at = strstr(from, mark);
	return at ? strtoll(at + strlen(mark), NULL, 10) : 0;
}

/* The list of that name: its first byte and its end. */
static const char *json_list(const char *body, const char *name,
			     const char **end)
{
	char mark[40];
	const char *at;

	snprintf(mark, sizeof(mark), "\"%s\":[", name);
	at = strstr(body, mark);
	if (!at)
		return *end = body;
	at += strlen(mark);
	*end = strchr(at, ']');
	return at;
}

static struct lease *find_lease(long id)
{
	unsigned i;

	for (i = 0; i < n_leases; i++)
		if (leases[i].id == id)
			return &leases[i];
	return NULL;
}

static int post_txn(const struct request *q, struct text *out)
{
	const char *end, *at = json_list(q->body, "precondition", &end);
	char *key, *value;

	while ((key = json_string(at, end, "key", &at))) {
		struct item *it = find_item(key);
		uint64_t has = it ? it->revision : 0;
		uint64_t wants = (uint64_t)json_number(at, "revision");

		free(key);
		if (has == wants)
			continue;
		put(out, "{\"items\":[");
		if (it)
			put_item(out, it);
		put(out, "],\"at\":%lu}", (unsigned long)revision);
		return 412;
	}
	revision++;
	at = json_list(q->body, "setKeys", &end);
	while ((key = json_string(at, end, "key", &at))) {
		long lease;

		value = json_string(at, end, "value", &at);
		lease = (long)json_number(at, "leaseId");
		if (lease && !find_lease(lease)) {
			free(key);
			free(value);
			revision--;
			return 404;
		}
		set_item(key, value, lease);
		free(key);
	}
	pthread_cond_broadcast(&changed);
	put(out, "{\"revision\":%lu}", (unsigned long)revision);
	return 200;
}

static int post_lease(const struct request *q, struct text *out)
{
	struct lease *l = &leases[n_leases++];

	l->id = (long)++revision;
	l->ttl_s = (double)json_number(q->body, "ttlMs") / 1000;
	l->ends_s = clock_s() + l->ttl_s;
	put(out, "{\"leaseId\":%ld,\"ttlMs\":%d}", l->id,
	    (int)(l->ttl_s * 1000));
	return 200;
}

static void end_lease(struct lease *l)
{
	unsigned i;

	revision++;
	for (i = n_items; i; i--)
		if (items[i - 1].lease == l->id)
			delete_item(&items[i - 1]);
	*l = leases[--n_leases];
	pthread_cond_broadcast(&changed);
}

static int run_store(const struct request *q, unsigned p, struct text *out)
{
	struct lease *l;
	struct item *it;
	char key[256];

	if (!strcmp(q->path, "/api/kv-range")) {
		get_range(q, out);
		return 200;
	}
	if (!strcmp(q->path, "/api/kv-watch")) {
		get_watch(q, p, out);
		return 200;
	}
	if (!strcmp(q->path, "/api/kv-txn"))
		return post_txn(q, out);
	if (!strcmp(q->path, "/api/kv-lease"))
		return post_lease(q, out);
	if (!strncmp(q->path, "/api/kv-keep/", 13)) {
		l = find_lease(atol(q->path + 13));
		if (!l)
			return 404;
		l->ends_s = clock_s() + l->ttl_s;
		put(out, "{\"ttlMs\":%d}", (int)(l->ttl_s * 1000));
		return 200;
	}
	if (!strncmp(q->path, "/api/kv-lease-end/", 18)) {
		l = find_lease(atol(q->path + 18));
		if (!l)
			return 404;
		end_lease(l);
		put(out, "{}");
		return 200;
	}
	if (!strcmp(q->path, "/api/kv-key")) {
		parameter(q, "key", key, sizeof(key));
		it = find_item(key);
		if (!it)
			return 404;
		put_item(out, it);
		out->len--;
		put(out, ",\"at\":%lu}", (unsigned long)revision);
		return 200;
	}
	return 404;
}

static void serve_store(int fd, void *ctx)
{
	unsigned p = (unsigned)(uintptr_t)ctx;
	struct reader r = { .fd = fd };
	struct request q;

	while (read_request(&r, &q)) {
		struct text out = { 0 };
		int status;
		bool ok;

		if (platform_is_cut(p)) {
			/* The other end has given the call up by then. */
			await_heal(p);
			request_free(&q);
			break;
		}
		pthread_mutex_lock(&lock);
		status = run_store(&q, p, &out);
		pthread_mutex_unlock(&lock);
		await_heal(p);
		ok = answer(fd, status, out.data ? out.data : "", out.len);
		free(out.data);
		request_free(&q);
		if (!ok)
			break;
	}
	free(r.data);
	close(fd);
}

/* Servers. */

struct commit {
	char id[24]; /* of the statement that made it */
	double at_s;
	bool replaced; /* another server had been promoted before */
};

struct server {
	char id[32];
	char host[40];
	bool up;
	bool listed;
	bool primary;
	uint64_t term, held;
	unsigned *log; /* commits */
	unsigned received, applied;
	double reaches_s; /* an old primary reaches the new one since */
	unsigned seq;
	bool draining;
	bool cut_from_store;
	double beat_s; /* of its last report to the store that arrived */
	double next_beat_s; /* of its last try */
	unsigned n_conns;
	int conns[512];
};

struct server_conn {
	struct server *server;
	int fd;
	char state;
	bool read_only;
	unsigned n_writes; /* in the transaction */
	char writes[64][24];
	unsigned sync_at; /* length of the log that a replica must have */
};

static struct server servers[WORLD_SERVERS];
static struct commit commits[COMMITS_MAX];
static unsigned n_commits = 1;
static uint64_t top_terms[WORLD_SERVICES];

const char *server_id(unsigned s)
{
	return servers[s].id;
}

bool server_has(unsigned i, const char *id)
{
	const struct server *s = &servers[i];
	bool found = false;
	unsigned n;

	pthread_mutex_lock(&lock);
	for (n = s->received; n && !found; n--)
		found = !strcmp(commits[s->log[n - 1]].id, id);
	pthread_mutex_unlock(&lock);
	return found;
}

/* The service's first server; its others follow. */
static struct server *service_of(const struct server *s)
{
	return &servers[(s - servers) / WORLD_COPIES * WORLD_COPIES];
}

static struct server *leader(struct server *service)
{
	struct server *best = NULL;
	unsigned i;

	for (i = 0; i < WORLD_COPIES; i++) {
		struct server *s = &service[i];

		if (s->up && s->primary && (!best || s->term > best->term))
			best = s;
	}
	return best;
}

int server_leader(void)
{
	struct server *s;

	pthread_mutex_lock(&lock);
	s = leader(servers);
	pthread_mutex_unlock(&lock);
	return s ? (int)(s - servers) : -1;
}

/* Called without the lock. */
static void list_server(struct server *s)
{
	char key[64], value[400];
	int n;

	pthread_mutex_lock(&lock);
	if (s->cut_from_store) {
		pthread_mutex_unlock(&lock);
		return;
	}
	snprintf(key, sizeof(key), "servers/%.31s", s->id);
	n = snprintf(value, sizeof(value),
		     "{\"service\":\"svc%u\",\"address\":\"%s:%d\","
		     "\"zone\":\"hall-a\",\"version\":\"v1\",\"capacity\":3,"
		     "\"state\":\"%s\",\"coldRemainingMs\":0,"
		     "\"dbRole\":\"%s\",\"seq\":%u}",
		     (unsigned)(s - servers) / WORLD_COPIES, s->host,
		     PORT_SERVER, s->draining ? "draining" : "ready",
		     s->primary ? "primary" : "replica", ++s->seq);
	s->listed = true;
	pthread_mutex_unlock(&lock);
	store_put(key, value, (size_t)n);
}

static void close_conns(struct server *s)
{
	unsigned i;

	for (i = 0; i < s->n_conns; i++)
		shutdown(s->conns[i], SHUT_RDWR);
}

void server_crash(unsigned i)
{
	pthread_mutex_lock(&lock);
	servers[i].up = false;
	close_conns(&servers[i]);
	pthread_mutex_unlock(&lock);
	record("server %s crashes", servers[i].id);
}

void server_restart(unsigned i)
{
	struct server *s = &servers[i];

	pthread_mutex_lock(&lock);
	s->up = true;
	s->held = 0;
	if (top_terms[i / WORLD_COPIES] > s->term)
		s->primary = false;
	pthread_mutex_unlock(&lock);
	list_server(s);
	record("server %s is back", s->id);
}

void server_drain(unsigned i)
{
	pthread_mutex_lock(&lock);
	servers[i].draining = true;
	pthread_mutex_unlock(&lock);
	list_server(&servers[i]);
	record("server %s drains", servers[i].id);
}

void server_cut_from_store(unsigned i, bool cut)
{
	pthread_mutex_lock(&lock);
	servers[i].cut_from_store = cut;
	pthread_mutex_unlock(&lock);
	record("server %s %s the store", servers[i].id,
	       cut ? "is cut off from" : "reaches");
}

double server_beat_s(unsigned i)
{
	return servers[i].beat_s - started_s;
}

bool commit_was_replaced(const char *id)
{
	bool found = false;
	unsigned n;

	pthread_mutex_lock(&lock);
	for (n = 1; n < n_commits && !found; n++)
		found = !strcmp(commits[n].id, id) && commits[n].replaced;
	pthread_mutex_unlock(&lock);
	return found;
}

/* What the leader has and the replica may receive by now. */
static void replicate(struct server *s, const struct server *p, double now_s)
{
	while (s->received < p->received &&
	       commits[p->log[s->received]].at_s +
			       opt.receive_ms[(s - servers) % WORLD_COPIES] /
				       1e3 <=
		       now_s) {
		s->log[s->received] = p->log[s->received];
		s->received++;
	}
	while (s->applied < s->received &&
	       commits[s->log[s->applied]].at_s +
			       opt.receive_ms[(s - servers) % WORLD_COPIES] /
				       1e3 +
			       APPLY_MS / 1e3 <=
		       now_s)
		s->applied++;
}

static void follow(struct server *s, const struct server *p)
{
	unsigned n = 0;

	while (n < s->received && n < p->received && s->log[n] == p->log[n])
		n++;
	s->received = n;
	if (s->applied > n)
		s->applied = n;
	s->term = p->term;
	s->primary = false;
	s->reaches_s = 0;
}

static bool replicate_all(struct server **to_list)
{
	double now_s = clock_s();
	unsigned i;

	for (i = 0; i < WORLD_SERVERS; i++) {
		struct server *s = &servers[i], *p = leader(service_of(s));

		if (!p || !s->up || s == p || s->held > p->term)
			continue;
		if (s->primary && !s->reaches_s)
			s->reaches_s = now_s;
		if (s->primary && now_s < s->reaches_s + FOLLOW_MS / 1e3)
			continue;
		if (s->primary)
			*to_list = s;
		if (s->term < p->term)
			follow(s, p);
		replicate(s, p, now_s);
	}
	return *to_list != NULL;
}

static void expire_leases(void)
{
	unsigned i;

	for (i = n_leases; i; i--)
		if (leases[i - 1].ends_s < clock_s())
			end_lease(&leases[i - 1]);
}

/* Whether the server's next report is due and arrives. */
static bool report_is_due(struct server *s, double now_s)
{
	if (!s->up || now_s < s->next_beat_s + HEARTBEAT_MS / 1e3)
		return false;
	/* One that is cut off tries again at the next interval. */
	if (s->cut_from_store)
		s->next_beat_s += HEARTBEAT_MS / 1e3;
	return !s->cut_from_store;
}

/* A server reports to the store, or its entry expires. */
static void beat(struct server *s)
{
	double now_s = clock_s();
	bool reports, expires;
	char key[64];

	pthread_mutex_lock(&lock);
	reports = report_is_due(s, now_s);
	if (reports)
		s->beat_s = s->next_beat_s = now_s;
	expires = !reports && s->listed &&
		  now_s > s->beat_s + ENTRY_EXPIRES_MS / 1e3;
	if (expires)
		s->listed = false;
	pthread_mutex_unlock(&lock);
	if (reports && !s->listed)
		list_server(s);
	if (!expires)
		return;
	snprintf(key, sizeof(key), "servers/%.31s", s->id);
	store_delete(key);
	record("the entry of %s expires", s->id);
}

static void *run_ticks(void *data)
{
	unsigned i;

	(void)data;
	for (;;) {
		struct server *to_list = NULL;

		pthread_mutex_lock(&lock);
		replicate_all(&to_list);
		expire_leases();
		pthread_mutex_unlock(&lock);
		for (i = 0; i < WORLD_SERVERS; i++)
			beat(&servers[i]);
		if (to_list)
			list_server(to_list);
		world_sleep_ms(2);
	}
	return NULL;
}

/* A case that takes longer than it may ends without a verdict. */
static void *run_limit(void *data)
{
	(void)data;
	world_sleep_ms(CASE_MAX_S * 1000);
	record("the case took too long");
	world_end(2);
}

static void put_position(struct text *t, const struct server *s)
{
	put(t, "%lu.%u", (unsigned long)s->term, s->applied);
}

static void put_ready(struct text *t, const struct server_conn *c)
{
	put(t, "READY %c ", c->state);
	put_position(t, c->server);
	put(t, "\r\n");
}

static void put_status(struct text *t, const struct server *s)
{
	put(t, "DATAROW %s %lu %lu.%u %lu 0 0 %u\r\nCOMPLETE -\r\n",
	    s->primary ? "primary" : "replica", (unsigned long)s->term,
	    (unsigned long)s->term, s->received, (unsigned long)s->held,
	    s->n_conns);
}

static const char *after_word(const char *text, const char *word)
{
	size_t n = strlen(word);

	if (strncmp(text, word, n) || (text[n] && text[n] != ' '))
		return NULL;
	return text[n] ? text + n + 1 : text + n;
}

static bool run_order(struct server *s, const char *text, struct text *out)
{
	const char *rest;

	if ((rest = after_word(text, "PAUSE"))) {
		uint64_t term = strtoull(rest, NULL, 10);

		if (!s->primary && term > s->term && term > s->held)
			s->held = term;
	} else if (after_word(text, "RESUME")) {
		s->held = 0;
	} else if ((rest = after_word(text, "STEPDOWN"))) {
		if (s->primary && strtoull(rest, NULL, 10) > s->term)
			s->primary = false;
	} else if (!after_word(text, "STATUS")) {
		return false;
	}
	put_status(out, s);
	return true;
}

/* Whether the log lacks TERM.NUMBER. */
static bool lacks(const struct server *s, const char *position)
{
	unsigned long long term = 0, number = 0;

	sscanf(position, "%llu.%llu", &term, &number);
	return term > s->term || (term == s->term && number > s->applied);
}

static void add_commit(struct server_conn *conn, const char *id)
{
	struct server *s = conn->server;
	struct commit *c = &commits[n_commits];

	if (n_commits + 1 == COMMITS_MAX)
		fail("too many commits");
	snprintf(c->id, sizeof(c->id), "%.23s", id);
	c->at_s = clock_s();
	c->replaced = s->term < top_terms[(s - servers) / WORLD_COPIES];
	s->log[s->received++] = n_commits++;
	s->applied = s->received;
	conn->sync_at = opt.sync_replicas ? s->received : 0;
	record("server %s term %lu commits %s", s->id, (unsigned long)s->term,
	       id);
}

static void error(struct server_conn *c, const char *code, struct text *out)
{
	put(out, "ERROR %s %s\r\n", code, c->server->id);
	if (c->state == 'T' && strcmp(code, "BUSY"))
		c->state = 'E';
}

/* A read, a write, a commit, or what prepares them. */
static void run_statement(struct server_conn *c, const char *id,
			  const char *text, struct text *out)
{
	struct server *s = c->server;
	const char *rest, *after = after_word(text, "AFTERLSN");
	bool writes;

	if (after) {
		text = strchr(after, ' ') + 1;
		if (lacks(s, after)) {
			error(c, "LAGGING", out);
			return;
		}
	}
	if ((rest = after_word(text, "BEGIN"))) {
		if (!*rest && !s->primary) {
			error(c, "READONLY", out);
			return;
		}
		c->state = 'T';
		c->read_only = *rest;
		c->n_writes = 0;
		put(out, "COMPLETE -\r\n");
		return;
	}
	if (after_word(text, "ROLLBACK")) {
		c->state = 'I';
		put(out, "COMPLETE -\r\n");
		return;
	}
	if (after_word(text, "SET") || after_word(text, "RESET") ||
	    after_word(text, "PREPARE") || after_word(text, "CLOSE")) {
		put(out, "COMPLETE -\r\n");
		return;
	}
	if (c->state == 'E') {
		error(c, "MALFORMED", out);
		if (after_word(text, "COMMIT"))
			c->state = 'I';
		return;
	}
	writes = after_word(text, "WRITE") != NULL;
	if (!s->primary &&
	    (writes || (c->state == 'T' && !c->read_only &&
			(!after_word(text, "COMMIT") || c->n_writes)))) {
		error(c, "READONLY", out);
		if (after_word(text, "COMMIT"))
			c->state = 'I';
		return;
	}
	if (writes && c->state == 'I') {
		add_commit(c, id);
	} else if (writes) {
		if (c->n_writes < 64)
			snprintf(c->writes[c->n_writes++], 24, "%.23s", id);
	} else if (after_word(text, "COMMIT")) {
		if (c->n_writes)
			add_commit(c, id);
		c->state = 'I';
	} else {
		put(out, "DATAROW row-of-%s\r\n", id);
	}
	put(out, "COMPLETE %s.%s\r\n", s->id, id);
}

static bool start_session(struct server_conn *c, const char *line,
			  struct text *out)
{
	char service[64] = "", who[64] = "", id[64] = "", own[16];

	snprintf(own, sizeof(own), "svc%u",
		 (unsigned)(c->server - servers) / WORLD_COPIES);
	sscanf(line, "STARTUP %63s %63s %63s", service, who, id);
	if (strcmp(service, own) || (*id && strcmp(id, c->server->id))) {
		put(out, "ERROR MOVED\r\n");
		return false;
	}
	c->state = 'I';
	put_ready(out, c);
	return true;
}

/* Waits until a replica has received the commit. */
static bool await_replica(struct server_conn *c)
{
	double until_s = clock_s() + SYNC_WAIT_MS / 1e3;
	struct server *p = c->server;
	bool has = !c->sync_at;
	unsigned i;

	while (!has && clock_s() < until_s) {
		pthread_mutex_lock(&lock);
		for (i = 0; i < WORLD_COPIES && p->up; i++) {
			const struct server *s = &service_of(p)[i];

			has = has || (s != p && s->up && s->term == p->term &&
				      s->received >= c->sync_at);
		}
		pthread_mutex_unlock(&lock);
		if (!has)
			world_sleep_ms(1);
	}
	c->sync_at = 0;
	return has;
}

static bool handle_line(struct server_conn *c, char *line)
{
	struct text out = { 0 };
	char id[256] = "";
	const char *text;
	bool ok = true, was_primary, work = false;

	pthread_mutex_lock(&lock);
	was_primary = c->server->primary;
	ok = c->server->up;
	if (ok && !c->state) {
		ok = start_session(c, line, &out);
		if (!ok)
			send_all(c->fd, out.data, out.len);
	} else if (ok && !strncmp(line, "QUERY ", 6)) {
		sscanf(line, "QUERY %255s", id);
		text = line + 7 + strlen(id);
		if (!run_order(c->server, text, &out)) {
			run_statement(c, id, text, &out);
			work = strcmp(id, "-");
		}
		put_ready(&out, c);
	} else {
		ok = false;
	}
	pthread_mutex_unlock(&lock);
	if (work)
		world_sleep_ms(WORK_MS);
	if (was_primary && !c->server->primary)
		list_server(c->server);
	ok = ok && await_replica(c);
	if (ok && out.data && !send_all(c->fd, out.data, out.len))
		ok = false;
	free(out.data);
	return ok;
}

static void serve_server(int fd, void *ctx)
{
	struct server_conn c = { .server = ctx, .fd = fd };
	struct server *s = ctx;
	struct reader r = { .fd = fd };
	bool ok;
	unsigned i;

	pthread_mutex_lock(&lock);
	ok = s->up && s->n_conns < 512;
	if (ok)
		s->conns[s->n_conns++] = fd;
	pthread_mutex_unlock(&lock);
	if (!ok) {
		close_reset(fd);
		return;
	}
	while (ok && read_more(&r)) {
		char *end;

		while (ok && (end = strstr(r.data, "\r\n"))) {
			*end = '\0';
			ok = handle_line(&c, r.data);
			drop_front(&r, (size_t)(end - r.data) + 2);
		}
	}
	pthread_mutex_lock(&lock);
	for (i = 0; i < s->n_conns; i++)
		if (s->conns[i] == fd)
			s->conns[i] = s->conns[--s->n_conns];
	pthread_mutex_unlock(&lock);
	free(r.data);
	close(fd);
}

/* The platform's promotion call. */

static struct world_promotion promotions[4096];
static unsigned n_promotions;

void platform_cut_next_caller(void)
{
	pthread_mutex_lock(&lock);
	cut_next_caller = true;
	pthread_mutex_unlock(&lock);
}

int platform_cut_proxy(void)
{
	int p, found = -1;

	pthread_mutex_lock(&lock);
	for (p = 0; p < WORLD_PROXIES_MAX; p++)
		if (paths[p].cut)
			found = p;
	pthread_mutex_unlock(&lock);
	return found;
}

void platform_heal(unsigned p)
{
	pthread_mutex_lock(&lock);
	paths[p].cut = false;
	pthread_mutex_unlock(&lock);
	record("the path of proxy %u to the platform heals", p);
}

unsigned promotions_count(void)
{
	unsigned n;

	pthread_mutex_lock(&lock);
	n = n_promotions;
	pthread_mutex_unlock(&lock);
	return n;
}

struct world_promotion promotion_at(unsigned i)
{
	return promotions[i];
}

static void *run_promotion(void *data)
{
	struct server *s = data;
	bool leads = false;
	unsigned i;

	world_sleep_ms(opt.promote_ms);
	pthread_mutex_lock(&lock);
	if (s->up && !s->primary) {
		s->applied = s->received;
		s->primary = true;
		s->term = ++top_terms[(s - servers) / WORLD_COPIES];
		for (i = 0; i < WORLD_COPIES; i++)
			service_of(s)[i].held = 0;
		leads = true;
	}
	pthread_mutex_unlock(&lock);
	if (leads) {
		record("server %s leads term %lu", s->id,
		       (unsigned long)s->term);
		list_server(s);
	}
	return NULL;
}

static int promote(const struct request *q)
{
	const char *body_end = q->body + q->body_len;
	struct world_promotion *r;
	struct server *s = NULL;
	char *id, *mark;
	unsigned i;

	pthread_mutex_lock(&lock);
	r = &promotions[n_promotions];
	r->at_s = world_now_s();
	id = json_string(q->body, body_end, "id", NULL);
	snprintf(r->target, sizeof(r->target), "%s", id ? id : "");
	free(id);
	mark = strcasestr(q->head, "X-Fencing-Token:");
	r->token = mark ? strtoull(mark + 16, NULL, 10) : 0;
	mark = strcasestr(q->head, "X-Lease-Holder:");
	if (mark)
		sscanf(mark + 15, " %31s", r->holder);
	for (i = 0; i < WORLD_SERVERS; i++)
		if (!strcmp(servers[i].id, r->target))
			s = &servers[i];
	r->status = s && s->up ? 200 : 409;
	n_promotions++;
	pthread_mutex_unlock(&lock);
	record("promotion of %s by %s with token %lu: %d", r->target, r->holder,
	       (unsigned long)r->token, r->status);
	if (r->status == 200 && s != leader(service_of(s)))
		start_thread(run_promotion, s);
	return r->status;
}

/*
 * Waits until the bytes of a call arrive: at once, or when the path has healed
 * and the sender's system sends them again. TCP does that a round trip and 0.2
 * s after the first time, then after twice as long each time. False: the sender
 * reset the connection meanwhile, and the bytes are lost.
 */
static bool await_bytes(unsigned p, int fd)
{
	struct pollfd poll_fd = { .fd = fd };
	double resent_s, step_s = RESEND_S;

	if (!platform_is_cut(p))
		return true;
	resent_s = paths[p].cut_s;
	while (platform_is_cut(p) || clock_s() < resent_s) {
		if (clock_s() >= resent_s) {
			resent_s += step_s;
			step_s *= 2;
		}
		world_sleep_ms(2);
	}
	poll(&poll_fd, 1, 0);
	return !(poll_fd.revents & POLLERR);
}

int platform_held_target(void)
{
	int i, found = -1;

	pthread_mutex_lock(&lock);
	for (i = 0; i < WORLD_SERVERS && *held_target; i++)
		if (!strcmp(servers[i].id, held_target))
			found = i;
	pthread_mutex_unlock(&lock);
	return found;
}

/* Cuts the path with the first call after it was asked to. */
static void cut_if_asked(unsigned p, const struct request *q)
{
	char *id;

	pthread_mutex_lock(&lock);
	if (cut_next_caller) {
		id = json_string(q->body, q->body + q->body_len, "id", NULL);
		snprintf(held_target, sizeof(held_target), "%s", id ? id : "");
		free(id);
		cut_next_caller = false;
		paths[p].cut = true;
		paths[p].cut_s = clock_s();
		pthread_cond_broadcast(&changed);
		record("proxy %u is cut off from the platform as its call is "
		       "on the way",
		       p);
	}
	pthread_mutex_unlock(&lock);
}

static void serve_control(int fd, void *ctx)
{
	unsigned p = (unsigned)(uintptr_t)ctx;
	struct reader r = { .fd = fd };
	struct request q;

	if (platform_is_cut(p)) {
		/* The opening packet is lost: nothing is ever sent. */
		await_heal(p);
		close_reset(fd);
		return;
	}
	while (read_request(&r, &q)) {
		int status;

		cut_if_asked(p, &q);
		if (!await_bytes(p, fd)) {
			record("the call of proxy %u is lost: its sender reset "
			       "the connection",
			       p);
			request_free(&q);
			break;
		}
		status = promote(&q);
		request_free(&q);
		if (!answer(fd, status, "{}", 2))
			break;
	}
	free(r.data);
	close(fd);
}

/* Proxies. */

struct proxy {
	pid_t pid;
	bool wanted;
	unsigned own_ends;
	char settings[300];
	char host[40];
	char log[300];
};

static struct proxy proxies[WORLD_PROXIES_MAX];

static const char contracts[] = "[\"base\",\"drain\",\"config\",\"cost\","
				"\"recover\",\"sql\",\"platform\"]";
static const char bounds[] =
	"{\"seedLagS\":3,\"addrReuseS\":2,\"stableWindowMs\":4000,"
	"\"ackTimeoutMs\":5000,\"catchUpS\":4,\"drainMs\":7000,\"graceS\":6,"
	"\"lossSlackMs\":200,\"configApplyMs\":3000,\"downgradeSlackMs\":250,"
	"\"maxSkewMs\":12000,\"recoveryS\":12,\"enforceFencing\":false,"
	"\"thawSlackMs\":300}";

/* The value of a placeholder of the settings' template. */
static void fill_in(struct text *out, const char *name, unsigned i)
{
	const char *host = proxies[i].host;

	if (!strcmp(name, "nodeName|json"))
		put(out, "\"proxy-%u\"", i);
	else if (!strcmp(name, "zone|json"))
		put(out, "\"hall-a\"");
	else if (!strcmp(name, "listenAddrs.frontend|json"))
		put(out, "\"%s:%d\"", host, PORT_CALLERS);
	else if (!strcmp(name, "listenAddrs.readiness|json"))
		put(out, "\"%s:%d\"", host, PORT_READY);
	else if (!strcmp(name, "ip"))
		put(out, "%s", host);
	else if (!strcmp(name, "internalPortRange.0"))
		put(out, "%d", PORT_PEERS);
	else if (!strcmp(name, "internalPortRange.1"))
		put(out, "%d", PORT_PEERS + 15);
	else if (!strcmp(name, "limits.bandwidthMbps"))
		put(out, "1000.0");
	else if (!strcmp(name, "limits.cpuShare"))
		put(out, "0.25");
	else if (!strcmp(name, "platform.address|json"))
		put(out, "\"%s.2:%u\"", net, PORT_STORE + i);
	else if (!strcmp(name, "cloudApi.address|json"))
		put(out, "\"%s.3:%u\"", net, PORT_CONTROL + i);
	else if (!strcmp(name, "contracts|json"))
		put(out, "%s", contracts);
	else if (!strcmp(name, "bounds|json"))
		put(out, "%s", bounds);
	else
		fail(name);
}

/* Fills in the template of the deploy file as the platform does. */
static void write_settings(unsigned i)
{
	FILE *in = fopen("platform/settings.json.template", "r");
	struct text out = { 0 };
	char text[16384], *at = text, *open;
	FILE *to;

	if (!in)
		fail("the settings' template");
	text[fread(text, 1, sizeof(text) - 1, in)] = '\0';
	fclose(in);
	while ((open = strstr(at, "{{"))) {
		char name[64], *end = strstr(open, "}}");

		put_bytes(&out, at, (size_t)(open - at));
		snprintf(name, sizeof(name), "%.*s", (int)(end - open - 2),
			 open + 2);
		fill_in(&out, name, i);
		at = end + 2;
	}
	put_bytes(&out, at, strlen(at));
	snprintf(proxies[i].settings, sizeof(proxies[i].settings),
		 "%s/proxy-%u.json", dir, i);
	to = fopen(proxies[i].settings, "w");
	if (!to)
		fail("settings");
	fwrite(out.data, 1, out.len, to);
	fclose(to);
	free(out.data);
}

/* target/bin/celeryquayd --settings FILE, as the deploy file has it. */
static void spawn(struct proxy *p)
{
	pid_t pid = fork();
	int fd;

	if (pid < 0)
		fail("a process");
	if (!pid) {
		/* It ends with this program, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		fd = open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);
		dup2(fd, 1);
		dup2(fd, 2);
		execl("target/bin/celeryquayd", "target/bin/celeryquayd",
		      "--settings", p->settings, (char *)NULL);
		_exit(127);
	}
	p->pid = pid;
}

void proxy_start(unsigned p)
{
	pthread_mutex_lock(&lock);
	proxies[p].wanted = true;
	spawn(&proxies[p]);
	pthread_mutex_unlock(&lock);
	record("proxy %u starts", p);
}

void proxy_signal(unsigned p, int number)
{
	record("signal %d to proxy %u", number, p);
	if (proxies[p].pid > 0)
		kill(proxies[p].pid, number);
}

unsigned proxy_own_ends(unsigned p)
{
	return proxies[p].own_ends;
}

/* The platform starts a process again that has ended. */
static void *run_keeper(void *data)
{
	(void)data;
	for (;;) {
		unsigned i;

		for (i = 0; i < opt.n_proxies && !ending; i++) {
			struct proxy *p = &proxies[i];
			int status;

			if (p->pid <= 0 ||
			    waitpid(p->pid, &status, WNOHANG) != p->pid)
				continue;
			if (WIFSIGNALED(status))
				record("proxy %u ended by signal %d", i,
				       WTERMSIG(status));
			else
				record("proxy %u ended with code %d", i,
				       WEXITSTATUS(status));
			p->own_ends++;
			p->pid = 0;
			if (!p->wanted || ending)
				continue;
			world_sleep_ms(RESTART_MS);
			pthread_mutex_lock(&lock);
			if (!ending)
				spawn(p);
			pthread_mutex_unlock(&lock);
			record("proxy %u is started again", i);
		}
		world_sleep_ms(5);
	}
	return NULL;
}

static void set_timeout(int fd, unsigned ms)
{
	struct timeval t = { ms / 1000, (long)(ms % 1000) * 1000 };

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
}

bool proxy_is_ready(unsigned p)
{
	static const char ask[] = "GET /api/readyz HTTP/1.1\r\nHost: x\r\n"
				  "Connection: close\r\n\r\n";
	int fd = connect_to(proxies[p].host, PORT_READY);
	char in[64] = "";
	bool ok;

	if (fd < 0)
		return false;
	set_timeout(fd, 1000);
	ok = send_all(fd, ask, sizeof(ask) - 1) &&
	     recv(fd, in, sizeof(in) - 1, 0) > 12 &&
	     !strncmp(in, "HTTP/1.1 200", 12);
	close(fd);
	return ok;
}

bool proxies_wait_ready(unsigned n, unsigned timeout_ms)
{
	double until_s = clock_s() + timeout_ms / 1e3;
	unsigned i = 0;

	while (i < n && clock_s() < until_s) {
		if (proxy_is_ready(i))
			i++;
		else
			world_sleep_ms(50);
	}
	return i == n;
}

/* Callers. */

const char *new_id(char out[24])
{
	static unsigned n;

	snprintf(out, 24, "%08x%08x", (unsigned)getpid(),
		 __atomic_add_fetch(&n, 1, __ATOMIC_RELAXED));
	return out;
}

/* The next line, without its end, or NULL; `code` says why. */
static char *next_line(struct caller *c, double until_s)
{
	for (;;) {
		char *end = c->len ? memmem(c->in, c->len, "\r\n", 2) : NULL;
		struct pollfd p = { .fd = c->fd, .events = POLLIN };
		double left_s = until_s - clock_s();
		ssize_t n;

		if (end) {
			size_t len = (size_t)(end - c->in);
			char *line = strndup(c->in, len);

			memmove(c->in, end + 2, c->len - len - 2);
			c->len -= len + 2;
			return line;
		}
		if (left_s <= 0 || poll(&p, 1, (int)(left_s * 1e3) + 1) <= 0) {
			strcpy(c->code, "SILENT");
			return NULL;
		}
		if (c->size - c->len < 4096) {
			c->size = c->size * 2 + 8192;
			c->in = realloc(c->in, c->size);
		}
		n = recv(c->fd, c->in + c->len, c->size - c->len, 0);
		if (n <= 0) {
			strcpy(c->code, "CLOSED");
			return NULL;
		}
		c->len += (size_t)n;
	}
}

bool caller_open(struct caller *c, unsigned p, const char *db)
{
	char out[128], *line;
	int n;

	memset(c, 0, sizeof(*c));
	c->fd = connect_to(proxies[p].host, PORT_CALLERS);
	if (c->fd < 0) {
		strcpy(c->code, "CLOSED");
		return false;
	}
	n = snprintf(out, sizeof(out), "STARTUP %s caller\r\n", db);
	if (!send_all(c->fd, out, (size_t)n) ||
	    !(line = next_line(c, clock_s() + 2))) {
		caller_close(c);
		return false;
	}
	c->state = line[6];
	n = !strncmp(line, "READY ", 6);
	free(line);
	if (!n)
		caller_close(c);
	return n;
}

bool caller_send(struct caller *c, const char *id, const char *text)
{
	struct text out = { 0 };
	bool ok;

	put(&out, "QUERY %s ", id);
	put_bytes(&out, text, strlen(text));
	put(&out, "\r\n");
	ok = send_all(c->fd, out.data, out.len);
	free(out.data);
	if (!ok)
		strcpy(c->code, "CLOSED");
	return ok;
}

bool caller_receive(struct caller *c, unsigned timeout_ms)
{
	double until_s = clock_s() + timeout_ms / 1e3;
	char *line;

	strcpy(c->code, "");
	strcpy(c->text, "");
	while ((line = next_line(c, until_s))) {
		char word[32] = "";

		sscanf(line, "%31s", word);
		if (!strcmp(word, "COMPLETE")) {
			strcpy(c->code, "COMPLETE");
			snprintf(c->text, sizeof(c->text), "%s", line + 9);
		} else if (!strcmp(word, "ERROR")) {
			sscanf(line, "ERROR %31s %255[^\r]", c->code, c->text);
		} else if (!strcmp(word, "READY")) {
			c->state = line[6];
			free(line);
			return true;
		}
		free(line);
	}
	return false;
}

bool caller_ask(struct caller *c, const char *id, const char *text,
		unsigned timeout_ms)
{
	return caller_send(c, id, text) && caller_receive(c, timeout_ms);
}

void caller_close(struct caller *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
	free(c->in);
	c->in = NULL;
	c->len = c->size = 0;
}

/* Start and end. */

/* One service; %u is its syncReplicas. */
#define SERVICE(name)                                                         \
	"{\"name\":\"" name "\",\"healthPath\":\"/healthz\",\"maxConns\":22," \
	"\"protocol\":\"h1\",\"tls\":false,\"syncReplicas\":%u}"

static void put_config(void)
{
	char value[4096];
	int n = snprintf(
		value, sizeof(value),
		"{\"version\":7,\"routes\":["
		"{\"name\":\"r1\",\"databaseName\":\"" WORLD_DB_PRIMARY "\","
		"\"prefix\":\"/\",\"type\":\"primary\",\"timeoutMs\":800,"
		"\"targetLatencyMs\":150,\"priority\":1,"
		"\"service\":\"svc0\",\"maxAttempts\":2},"
		"{\"name\":\"r2\",\"databaseName\":\"" WORLD_DB_OWN "\","
		"\"prefix\":\"/\",\"type\":\"read_your_writes\","
		"\"timeoutMs\":800,\"targetLatencyMs\":250,\"priority\":2,"
		"\"service\":\"svc0\",\"maxAttempts\":2,"
		"\"maxStalenessMs\":2500},"
		"{\"name\":\"r3\",\"databaseName\":\"" WORLD_DB_BOUNDED "\","
		"\"prefix\":\"/\",\"type\":\"bounded_staleness\","
		"\"timeoutMs\":2000,\"targetLatencyMs\":500,\"priority\":2,"
		"\"service\":\"svc0\",\"maxAttempts\":2,"
		"\"maxStalenessMs\":1500}],"
		"\"services\":[" SERVICE("svc0") "," SERVICE("svc1") "," SERVICE(
			"svc2") "],"
				"\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
				"\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000,"
				"\"txIdleMs\":3000}}",
		opt.sync_replicas, opt.sync_replicas, opt.sync_replicas);

	store_put("op/config", value, (size_t)n);
}

static void start_servers(void)
{
	unsigned i;

	for (i = 0; i < WORLD_SERVERS; i++) {
		struct server *s = &servers[i];

		snprintf(s->id, sizeof(s->id), "i-%08x", 0x7f3a9100u + i);
		snprintf(s->host, sizeof(s->host), "%s.%u", net, 100 + i);
		s->up = true;
		s->primary = i % WORLD_COPIES == 0;
		s->term = top_terms[i / WORLD_COPIES] = 1;
		s->log = calloc(COMMITS_MAX, sizeof(*s->log));
		serve_at(s->host, PORT_SERVER, serve_server, s);
		list_server(s);
	}
}

static void pick_net(void)
{
	unsigned tries;

	srand((unsigned)time(NULL) ^ (unsigned)getpid());
	for (tries = 0; tries < 50; tries++) {
		char host[32];
		int fd;

		snprintf(net, sizeof(net), "127.%d.%d", 20 + rand() % 200,
			 1 + rand() % 250);
		snprintf(host, sizeof(host), "%s.2", net);
		fd = listen_at(host, PORT_STORE);
		if (fd < 0)
			continue;
		close(fd);
		return;
	}
	fail("no free addresses");
}

void world_start(const struct world_options *options)
{
	const char *path = getenv("RECORD"), *tmp = getenv("CASE_DIR");
	unsigned i;

	opt = *options;
	started_s = clock_s();
	signal(SIGPIPE, SIG_IGN);
	record_file = fopen(path ? path : "record.txt", "w");
	if (!record_file || !tmp) {
		fprintf(stderr, "RECORD and CASE_DIR are needed\n");
		exit(2);
	}
	snprintf(dir, sizeof(dir), "%s", tmp);
	pick_net();
	record("trouble: %s", world_trouble() ? "yes" : "no");
	start_thread(run_ticks, NULL);
	start_thread(run_limit, NULL);
	put_config();
	start_servers();
	for (i = 0; i < opt.n_proxies; i++) {
		uintptr_t n = i;
		char host[32];

		snprintf(proxies[i].host, sizeof(proxies[i].host), "%s.%u", net,
			 10 + i);
		snprintf(proxies[i].log, sizeof(proxies[i].log),
			 "%s/proxy-%u.log", dir, i);
		snprintf(host, sizeof(host), "%s.2", net);
		serve_at(host, PORT_STORE + i, serve_store, (void *)n);
		snprintf(host, sizeof(host), "%s.3", net);
		serve_at(host, PORT_CONTROL + i, serve_control, (void *)n);
		write_settings(i);
	}
	start_thread(run_keeper, NULL);
}

void world_end(int code)
{
	unsigned i;

	pthread_mutex_lock(&lock);
	ending = true;
	pthread_mutex_unlock(&lock);
	for (i = 0; i < opt.n_proxies; i++) {
		if (proxies[i].pid <= 0)
			continue;
		kill(proxies[i].pid, SIGCONT);
		kill(proxies[i].pid, SIGKILL);
		waitpid(proxies[i].pid, NULL, 0);
	}
	if (record_file) {
		record("%s", code == 1 ? "the rule was broken" :
			     code      ? "the case could not run" :
					 "the rule held");
		fflush(record_file);
	}
	_exit(code);
}
