#include "server_state.h"

#include <errno.h>
#include <fcntl.h>
#include <string.h>
#include <unistd.h>
#include <glib/gstdio.h>

#include "server_util.h"
#include "server_wire.h"

#define LOG_MODULE "state"

#define HEADER_LEN 5

enum record {
	RECORD_ENTRY = 'E',
	RECORD_CUT = 'C',
	RECORD_GRANTED = 'G',
	RECORD_ROLE = 'R',
};

struct state_file {
	int fd;
	GByteArray *out;
};

/* Hands one record to the function that takes its kind. */
static void load_record(char kind, struct wire_in *in,
			const struct state_ops *ops, void *user)
{
	struct state_role role;
	uint64_t term, position;

	switch (kind) {
	case RECORD_ENTRY:
		term = wire_get_u64(in);
		position = wire_get_u64(in);
		ops->entry(user, log_entry_create(term, position, in->at,
						  (size_t)(in->end - in->at)));
		break;
	case RECORD_CUT:
		ops->cut(user, wire_get_u64(in));
		break;
	case RECORD_GRANTED:
		term = wire_get_u64(in);
		ops->granted(user, term, wire_get_cstr(in));
		break;
	case RECORD_ROLE:
		role.primary = wire_get_u8(in);
		role.term = wire_get_u64(in);
		role.following = wire_get_cstr(in);
		ops->role(user, &role);
		break;
	default:
		LOG_ERR("record of unknown kind %d", kind);
		break;
	}
}

/*
 * Loads all whole records and returns their length. A process that is killed
 * in the middle of a write leaves a part of a record at the end: nothing that
 * depends on it was ever answered, so that it is dropped.
 */
static size_t load(const char *data, size_t len, const struct state_ops *ops,
		   void *user)
{
	struct wire_in in = { (const uint8_t *)data,
			      (const uint8_t *)data + len, false };
	struct wire_in body;
	const uint8_t *start = in.at;
	int32_t body_len;
	char kind;

	for (;;) {
		kind = (char)wire_get_u8(&in);
		body_len = wire_get_i32(&in);
		body.at = wire_get_bytes(&in, (size_t)MAX(body_len, 0));
		if (in.bad)
			return (size_t)(start - (const uint8_t *)data);
		body.end = in.at;
		body.bad = false;
		load_record(kind, &body, ops, user);
		start = in.at;
	}
}

/*
 * Opens the file of a server in a folder, which is made if needed, and loads
 * what it has. Returns NULL when it can't be opened.
 */
struct state_file *state_open(const char *dir, const char *name,
			      const struct state_ops *ops, void *user)
{
	struct state_file *file = NULL;
	char *base = g_strconcat(name, ".log", NULL);
	char *path = g_build_filename(dir, base, NULL);
	char *data = NULL;
	gsize len = 0;
	size_t whole;
	int fd = -1;

	g_mkdir_with_parents(dir, 0700);
	fd = g_open(path, O_WRONLY | O_CREAT | O_CLOEXEC, 0600);
	if (fd < 0 || !g_file_get_contents(path, &data, &len, NULL)) {
		LOG_ERR("can't open %s: %s", path, g_strerror(errno));
		goto err;
	}
	whole = load(data, len, ops, user);
	if (ftruncate(fd, (off_t)whole) || lseek(fd, 0, SEEK_END) < 0) {
		LOG_ERR("can't cut %s: %s", path, g_strerror(errno));
		goto err;
	}
	file = g_new0(struct state_file, 1);
	file->fd = fd;
	file->out = g_byte_array_new();
	fd = -1;
err:
	if (fd >= 0)
		close(fd);
	g_free(data);
	g_free(path);
	g_free(base);
	return file;
}

/* Closes the file. */
void state_close(struct state_file *file)
{
	if (!file)
		return;
	close(file->fd);
	g_byte_array_free(file->out, TRUE);
	g_free(file);
}

/* Starts a record. */
static void begin(struct state_file *file, enum record kind)
{
	g_byte_array_set_size(file->out, 0);
	wire_put_u8(file->out, (uint8_t)kind);
	wire_put_i32(file->out, 0);
}

/*
 * Writes the record. A server that can't keep what it is about to promise
 * must not go on, or it would break its word after a restart.
 */
static void end(struct state_file *file)
{
	uint32_t len = GUINT32_TO_BE(file->out->len - HEADER_LEN);
	size_t done = 0;
	ssize_t n;

	memcpy(file->out->data + 1, &len, sizeof(len));
	while (done < file->out->len) {
		n = write(file->fd, file->out->data + done,
			  file->out->len - done);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0)
			g_error("can't keep the state: %s", g_strerror(errno));
		done += (size_t)n;
	}
}

/* Keeps an entry of the log. Without a file, these functions do nothing. */
void state_entry(struct state_file *file, const struct log_entry *entry)
{
	if (!file)
		return;
	begin(file, RECORD_ENTRY);
	wire_put_u64(file->out, entry->term);
	wire_put_u64(file->out, entry->position);
	wire_put_bytes(file->out, entry->data, entry->len);
	end(file);
}

/* Keeps that the log was cut after a position. */
void state_cut(struct state_file *file, uint64_t last)
{
	if (!file)
		return;
	begin(file, RECORD_CUT);
	wire_put_u64(file->out, last);
	end(file);
}

/* Keeps a grant. */
void state_granted(struct state_file *file, uint64_t term, const char *holder)
{
	if (!file)
		return;
	begin(file, RECORD_GRANTED);
	wire_put_u64(file->out, term);
	wire_put_cstr(file->out, holder);
	end(file);
}

/* Keeps the role. */
void state_role(struct state_file *file, const struct state_role *role)
{
	if (!file)
		return;
	begin(file, RECORD_ROLE);
	wire_put_u8(file->out, role->primary);
	wire_put_u64(file->out, role->term);
	wire_put_cstr(file->out, role->following ? role->following : "");
	end(file);
}
