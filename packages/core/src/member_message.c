#include "member_internal.h"

#include <string.h>

/* Leaves room for the increments by refutations. */
#define INCARNATION_MAX (1ULL << 62)

/* Keys of the map; a number is never reused for another meaning. */
enum field {
	FIELD_TYPE = 1,
	FIELD_FROM = 2,
	FIELD_INCARNATION = 3,
	FIELD_STATE = 4,
	FIELD_PROCESS_HASH = 5,
	FIELD_HOST = 6,
	FIELD_PORT = 7,
	FIELD_SEQ = 8,
	FIELD_TARGET = 9,
	FIELD_TARGET_HOST = 10,
	FIELD_TARGET_PORT = 11,
	FIELD_WANT_FULL = 12,
	FIELD_CLAIMS = 13,
	FIELD_NAMES = 14,
	FIELD_CURSOR = 15,
	FIELD_LAST = 16,
	FIELD_BUCKETS = 17,
	FIELD_COVERED = 18,
	FIELD_PARTIAL = 19,
};

/* Fields that every message has. */
#define FIELDS_ALWAYS 7

/* Lengths of a claim's array; later releases append elements. */
#define CLAIM_SHORT 4
#define CLAIM_WITH_SUSPECTERS 5
#define CLAIM_FULL 12

/* Upper bounds of packed sizes, in bytes. */
#define SIZE_NUMBER 9
#define SIZE_FIELD_NUMBER (1 + SIZE_NUMBER)
#define SIZE_STR_HEADER 2
#define SIZE_FIXED (9 * SIZE_FIELD_NUMBER + 32)

static size_t str_size(const char *s)
{
	return s ? 1 + SIZE_STR_HEADER + strlen(s) : 0;
}

/* Starts a message without claims or names; the caller sets its fields. */
void outgoing_init(struct outgoing *o, const struct members *m,
		   enum message_type type)
{
	memset(o, 0, sizeof(*o));
	o->type = type;
	o->claims = g_array_new(FALSE, FALSE, sizeof(struct claim_out));
	o->names = g_array_new(FALSE, FALSE, sizeof(struct str));
	o->size = SIZE_FIXED + str_size(m->self->info.name) +
		  str_size(m->self->info.host);
}

/* Frees the lists. */
void outgoing_clear(struct outgoing *o)
{
	g_array_free(o->claims, TRUE);
	g_array_free(o->names, TRUE);
}

static size_t claim_size(const struct member *member, bool full)
{
	const struct member_info *info = &member->info;
	size_t size = 1 + str_size(info->name) + SIZE_NUMBER + 1 + 5 + 1;

	size += member->n_suspecters * 5ULL;
	if (!full)
		return size;
	return size + str_size(info->host) + 3 + str_size(info->data_centre) +
	       str_size(info->region) + str_size(info->curve_public) + 10;
}

/* Adds a claim about a member, at most once per message. */
bool outgoing_claim(struct outgoing *o, const struct member *member, bool full,
		    size_t limit)
{
	struct claim_out claim = { .member = member, .full = full };
	size_t size = claim_size(member, full);
	unsigned i;

	for (i = 0; i < o->claims->len; i++) {
		if (g_array_index(o->claims, struct claim_out, i).member ==
		    member)
			return true;
	}
	if (o->size + size > limit)
		return false;
	o->size += size;
	g_array_append_val(o->claims, claim);
	return true;
}

/* Adds a name whose full claim is requested. */
bool outgoing_name(struct outgoing *o, struct str name, size_t limit)
{
	size_t size = SIZE_STR_HEADER + name.len;

	if (o->size + size > limit)
		return false;
	o->size += size;
	g_array_append_val(o->names, name);
	return true;
}

static void pack_claim(struct pack *p, const struct claim_out *c)
{
	const struct member *member = c->member;
	const struct member_info *info = &member->info;
	unsigned i,
		n = member->n_suspecters ? CLAIM_WITH_SUSPECTERS : CLAIM_SHORT;

	pack_array(p, c->full ? CLAIM_FULL : n);
	pack_str(p, str_from_c(info->name));
	pack_u64(p, info->incarnation);
	pack_u64(p, info->state);
	pack_u64(p, member->process_hash);
	if (!c->full && !member->n_suspecters)
		return;
	pack_array(p, member->n_suspecters);
	for (i = 0; i < member->n_suspecters; i++)
		pack_u64(p, member->suspecters[i]);
	if (!c->full)
		return;
	pack_str(p, str_from_c(info->host));
	pack_u64(p, info->peer_port);
	pack_str(p, str_from_c(info->data_centre));
	pack_str(p, str_from_c(info->region));
	pack_str(p, str_from_c(info->curve_public));
	pack_u64(p, info->version_min);
	pack_u64(p, info->version_max);
}

static void pack_lists(struct pack *p, const struct outgoing *o)
{
	unsigned i;

	if (o->claims->len) {
		pack_key(p, FIELD_CLAIMS);
		pack_array(p, o->claims->len);
	}
	for (i = 0; i < o->claims->len; i++)
		pack_claim(p, &g_array_index(o->claims, struct claim_out, i));
	if (o->names->len) {
		pack_key(p, FIELD_NAMES);
		pack_array(p, o->names->len);
	}
	for (i = 0; i < o->names->len; i++)
		pack_str(p, g_array_index(o->names, struct str, i));
}

static void pack_buckets(struct pack *p, const uint32_t *buckets)
{
	uint32_t words[MEMBER_BUCKETS];
	unsigned i;

	for (i = 0; i < MEMBER_BUCKETS; i++)
		words[i] = GUINT32_TO_LE(buckets[i]);
	pack_key(p, FIELD_BUCKETS);
	pack_bin(p, words, sizeof(words));
}

static unsigned count_fields(const struct outgoing *o)
{
	return FIELDS_ALWAYS + (o->seq != 0) + (o->target != NULL) +
	       2 * (o->target_host != NULL) + o->want_full +
	       (o->claims->len != 0) + (o->names->len != 0) +
	       (o->cursor != NULL) + o->last + o->partial +
	       (o->buckets != NULL) + (o->covered != 0);
}

/* The packed message; the caller owns the reference. */
GBytes *outgoing_pack(const struct outgoing *o, const struct members *m)
{
	const struct member_info *self = &m->self->info;
	struct pack p;

	pack_begin(&p, count_fields(o));
	pack_field_u64(&p, FIELD_TYPE, o->type);
	pack_field_str(&p, FIELD_FROM, str_from_c(self->name));
	pack_field_u64(&p, FIELD_INCARNATION, self->incarnation);
	pack_field_u64(&p, FIELD_STATE, self->state);
	pack_field_u64(&p, FIELD_PROCESS_HASH, m->self->process_hash);
	pack_field_str(&p, FIELD_HOST, str_from_c(self->host));
	pack_field_u64(&p, FIELD_PORT, self->peer_port);
	if (o->seq)
		pack_field_u64(&p, FIELD_SEQ, o->seq);
	if (o->target)
		pack_field_str(&p, FIELD_TARGET, str_from_c(o->target));
	if (o->target_host) {
		pack_field_str(&p, FIELD_TARGET_HOST,
			       str_from_c(o->target_host));
		pack_field_u64(&p, FIELD_TARGET_PORT, o->target_port);
	}
	if (o->want_full)
		pack_field_u64(&p, FIELD_WANT_FULL, 1);
	pack_lists(&p, o);
	if (o->cursor)
		pack_field_str(&p, FIELD_CURSOR, str_from_c(o->cursor));
	if (o->last)
		pack_field_u64(&p, FIELD_LAST, 1);
	if (o->partial)
		pack_field_u64(&p, FIELD_PARTIAL, 1);
	if (o->buckets)
		pack_buckets(&p, o->buckets);
	if (o->covered)
		pack_field_u64(&p, FIELD_COVERED, o->covered);
	return pack_end(&p);
}

/* Names are printable ASCII without spaces, as they go into logs and keys. */
static bool valid_name(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		if (s.data[i] <= ' ' || s.data[i] > '~')
			return false;
	}
	return s.len > 0;
}

static bool parse_suspecters(const msgpack_object *o, struct claim *c)
{
	uint32_t i;

	if (o->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (i = 0; i < o->via.array.size && i < MEMBER_SUSPECTERS_MAX; i++) {
		uint64_t suspecter;

		if (!unpack_u64(&o->via.array.ptr[i], UINT32_MAX, &suspecter))
			return false;
		c->suspecters[c->n_suspecters++] = (uint32_t)suspecter;
	}
	return true;
}

static bool parse_full(const msgpack_object *e, struct claim *c)
{
	uint64_t port, version_min, version_max;

	if (!unpack_str(&e[5], MEMBER_HOST_MAX, &c->host) ||
	    !unpack_u64(&e[6], UINT16_MAX, &port) ||
	    !unpack_str(&e[7], MEMBER_LOCATION_MAX, &c->data_centre) ||
	    !unpack_str(&e[8], MEMBER_LOCATION_MAX, &c->region) ||
	    !unpack_str(&e[9], MEMBER_CURVE_LEN, &c->curve_public) ||
	    !unpack_u64(&e[10], UINT32_MAX, &version_min) ||
	    !unpack_u64(&e[11], UINT32_MAX, &version_max))
		return false;
	c->port = (uint16_t)port;
	c->version_min = (unsigned)version_min;
	c->version_max = (unsigned)version_max;
	c->full = true;
	return valid_name(c->host) && c->port;
}

/*
 * Reads one claim. A state added by a later release makes the claim unusable
 * but not malformed: *known is then false.
 */
static bool parse_claim(const msgpack_object *o, struct claim *c, bool *known)
{
	const msgpack_object *e;
	uint64_t state, process_hash;
	uint32_t n;

	memset(c, 0, sizeof(*c));
	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < CLAIM_SHORT)
		return false;
	e = o->via.array.ptr;
	n = o->via.array.size;
	if (!unpack_str(&e[0], MEMBER_NAME_MAX, &c->name) ||
	    !valid_name(c->name) ||
	    !unpack_u64(&e[1], INCARNATION_MAX, &c->incarnation) ||
	    !unpack_u64(&e[2], UINT32_MAX, &state) ||
	    !unpack_u64(&e[3], UINT32_MAX, &process_hash))
		return false;
	c->process_hash = (uint32_t)process_hash;
	*known = state <= MEMBER_DEAD;
	c->state = *known ? (enum member_state)state : MEMBER_DEAD;
	if (n >= CLAIM_WITH_SUSPECTERS && !parse_suspecters(&e[4], c))
		return false;
	return n < CLAIM_FULL || parse_full(e, c);
}

static bool parse_claims(const msgpack_object *list, struct message *msg)
{
	uint32_t i;

	if (!list)
		return true;
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (i = 0; i < list->via.array.size; i++) {
		struct claim claim;
		bool known;

		if (!parse_claim(&list->via.array.ptr[i], &claim, &known))
			return false;
		if (known)
			g_array_append_val(msg->claims, claim);
	}
	return true;
}

static bool parse_names(const msgpack_object *list, struct message *msg)
{
	uint32_t i;

	if (!list)
		return true;
	if (list->type != MSGPACK_OBJECT_ARRAY)
		return false;
	for (i = 0; i < list->via.array.size; i++) {
		struct str name;

		if (!unpack_str(&list->via.array.ptr[i], MEMBER_NAME_MAX,
				&name))
			return false;
		g_array_append_val(msg->names, name);
	}
	return true;
}

static bool parse_buckets(const msgpack_object *o, struct message *msg)
{
	struct str bytes;
	unsigned i;

	if (!o)
		return true;
	if (!unpack_bin(o, &bytes) || bytes.len != sizeof(msg->buckets))
		return false;
	memcpy(msg->buckets, bytes.data, bytes.len);
	for (i = 0; i < MEMBER_BUCKETS; i++)
		msg->buckets[i] = GUINT32_FROM_LE(msg->buckets[i]);
	msg->has_buckets = true;
	return true;
}

static bool parse_sender(const msgpack_object *map, struct claim *c)
{
	uint64_t state = MEMBER_ALIVE, process_hash = 0, port = 0;

	c->name = STR("");
	c->host = STR("");
	if (!unpack_field_str(map, FIELD_FROM, MEMBER_NAME_MAX, &c->name) ||
	    !unpack_field_u64(map, FIELD_INCARNATION, INCARNATION_MAX,
			      &c->incarnation) ||
	    !unpack_field_u64(map, FIELD_STATE, UINT32_MAX, &state) ||
	    !unpack_field_u64(map, FIELD_PROCESS_HASH, UINT32_MAX,
			      &process_hash) ||
	    !unpack_field_str(map, FIELD_HOST, MEMBER_HOST_MAX, &c->host) ||
	    !unpack_field_u64(map, FIELD_PORT, UINT16_MAX, &port))
		return false;
	c->state = state <= MEMBER_DEAD ? (enum member_state)state :
					  MEMBER_ALIVE;
	c->process_hash = (uint32_t)process_hash;
	c->port = (uint16_t)port;
	return valid_name(c->name) && valid_name(c->host) && c->port;
}

static bool parse_optional(const msgpack_object *map, struct message *msg)
{
	uint64_t want_full = 0, last = 0, partial = 0, port = 0;

	msg->target = msg->target_host = msg->cursor = STR("");
	if (!unpack_field_u64(map, FIELD_SEQ, UINT64_MAX, &msg->seq) ||
	    !unpack_field_str(map, FIELD_TARGET, MEMBER_NAME_MAX,
			      &msg->target) ||
	    !unpack_field_str(map, FIELD_TARGET_HOST, MEMBER_HOST_MAX,
			      &msg->target_host) ||
	    !unpack_field_u64(map, FIELD_TARGET_PORT, UINT16_MAX, &port) ||
	    !unpack_field_u64(map, FIELD_WANT_FULL, UINT64_MAX, &want_full) ||
	    !unpack_field_str(map, FIELD_CURSOR, MEMBER_NAME_MAX,
			      &msg->cursor) ||
	    !unpack_field_u64(map, FIELD_LAST, UINT64_MAX, &last) ||
	    !unpack_field_u64(map, FIELD_PARTIAL, UINT64_MAX, &partial) ||
	    !unpack_field_u64(map, FIELD_COVERED, UINT64_MAX, &msg->covered))
		return false;
	msg->target_port = (uint16_t)port;
	msg->want_full = want_full != 0;
	msg->last = last != 0;
	msg->partial = partial != 0;
	return true;
}

/*
 * Reads the whole message before anything of it is used. Its strings point into
 * the received bytes. Fails with BAD_MESSAGE if any part is malformed; unknown
 * types and fields are accepted.
 */
bool message_parse(struct message *msg, struct unpack *u, struct err *err)
{
	const msgpack_object *map = &u->root;
	const char *what = NULL;

	memset(msg, 0, sizeof(*msg));
	msg->claims = g_array_new(FALSE, FALSE, sizeof(struct claim));
	msg->names = g_array_new(FALSE, FALSE, sizeof(struct str));
	if (!unpack_field_u64(map, FIELD_TYPE, UINT32_MAX, &msg->type))
		what = "type";
	else if (!parse_sender(map, &msg->sender))
		what = "sender";
	else if (!parse_optional(map, msg))
		what = "fields";
	else if (!parse_claims(unpack_field(map, FIELD_CLAIMS), msg))
		what = "claims";
	else if (!parse_names(unpack_field(map, FIELD_NAMES), msg))
		what = "names";
	else if (!parse_buckets(unpack_field(map, FIELD_BUCKETS), msg))
		what = "buckets";
	if (!what)
		return true;
	message_clear(msg);
	err_set(err, ERR_BAD_MESSAGE, "gossip: malformed %s", what);
	return false;
}

/* Frees the lists. */
void message_clear(struct message *msg)
{
	g_array_free(msg->claims, TRUE);
	g_array_free(msg->names, TRUE);
}
