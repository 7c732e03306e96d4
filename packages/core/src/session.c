#include <celeryquay/core/session.h>

#include <msgpack.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>
#include <stdio.h>
#include <string.h>

/*
 * A token is the unpadded base64url of: the version, the length of the signing
 * key's id, the id, the HMAC-SHA256 of all the rest, and the entries as one
 * MessagePack list [database, term, index, ...], the oldest first.
 */
#define VERSION 1
#define MAC_LEN 32
#define SECRET_LEN 32
#define KEY_ID_MAX_LEN 47
#define HEADER_LEN 2 /* the version and the id's length */
#define MAX_RAW_LEN (SESSION_MAX_TEXT_LEN / 4 * 3)
#define ENTRY_FIELDS 3 /* elements of the list per entry */
/* Hashed first, so that the MAC of another message is no valid signature. */
#define MAC_CONTEXT "celeryquay session"

/* The parts of a token, which point into its raw bytes. */
struct token {
	struct str id;
	const unsigned char *mac;
	struct str body;
};

static bool fail(struct err *err, const char *what)
{
	err_set(err, ERR_BAD_SESSION, "the session token %s", what);
	return false;
}

/*
 * The HMAC context is kept for the life of the process. With a new one for each
 * token OpenSSL would look up the algorithm and hash the key every time, at ten
 * times the cost.
 */
static struct {
	EVP_MAC_CTX *ctx;
	uint8_t secret[SECRET_LEN];
	bool keyed; /* the context was set up with this secret */
} mac_cache;

static EVP_MAC_CTX *mac_context(void)
{
	EVP_MAC *hmac;

	if (mac_cache.ctx)
		return mac_cache.ctx;
	hmac = EVP_MAC_fetch(NULL, "HMAC", NULL);
	mac_cache.ctx = EVP_MAC_CTX_new(hmac);
	EVP_MAC_free(hmac);
	return mac_cache.ctx;
}

/* Starts a MAC; a key that the context holds already isn't hashed again. */
static bool mac_begin(EVP_MAC_CTX *ctx, const struct key_conf *key)
{
	char digest[] = "SHA256";
	OSSL_PARAM params[] = {
		OSSL_PARAM_construct_utf8_string("digest", digest, 0),
		OSSL_PARAM_construct_end(),
	};

	if (mac_cache.keyed &&
	    !CRYPTO_memcmp(mac_cache.secret, key->secret, SECRET_LEN))
		return EVP_MAC_init(ctx, NULL, 0, NULL) == 1;
	memcpy(mac_cache.secret, key->secret, SECRET_LEN);
	mac_cache.keyed = EVP_MAC_init(ctx, key->secret, SECRET_LEN, params) ==
			  1;
	return mac_cache.keyed;
}

static bool mac_add(EVP_MAC_CTX *ctx, const void *data, size_t len)
{
	return EVP_MAC_update(ctx, data, len) == 1;
}

static bool compute_mac(const struct key_conf *key, struct str id,
			struct str body, unsigned char mac[MAC_LEN])
{
	unsigned char head[] = { VERSION, (unsigned char)id.len };
	EVP_MAC_CTX *ctx = mac_context();
	size_t len = 0;

	return ctx && mac_begin(ctx, key) &&
	       mac_add(ctx, MAC_CONTEXT, strlen(MAC_CONTEXT)) &&
	       mac_add(ctx, head, sizeof(head)) &&
	       mac_add(ctx, id.data, id.len) &&
	       mac_add(ctx, body.data, body.len) &&
	       EVP_MAC_final(ctx, mac, &len, MAC_LEN) == 1 && len == MAC_LEN;
}

static const char base64url_digits[] =
	"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/* The value of a base64url digit, -1 for any other byte. */
static int digit_value(char c)
{
	if (c >= 'A' && c <= 'Z')
		return c - 'A';
	if (c >= 'a' && c <= 'z')
		return c - 'a' + 26;
	if (c >= '0' && c <= '9')
		return c - '0' + 52;
	if (c == '-')
		return 62;
	return c == '_' ? 63 : -1;
}

/* Appends unpadded base64url, which GLib doesn't offer. */
static void append_base64url(GString *out, const unsigned char *raw, size_t len)
{
	size_t start = out->len;
	unsigned bits = 0, n_bits = 0;
	char *to;
	size_t i;

	g_string_set_size(out, start + (len * 4 + 2) / 3);
	to = out->str + start;
	for (i = 0; i < len; i++) {
		bits = bits << 8 | raw[i];
		n_bits += 8;
		while (n_bits >= 6) {
			n_bits -= 6;
			*to++ = base64url_digits[bits >> n_bits & 0x3f];
		}
	}
	if (n_bits)
		*to = base64url_digits[bits << (6 - n_bits) & 0x3f];
}

/*
 * Decodes unpadded base64url to a new buffer. NULL for malformed text, also if
 * the unused bits of the last digit aren't zero, so that each sequence of bytes
 * has only one valid text.
 */
static unsigned char *decode_base64url(struct str text, size_t *len)
{
	unsigned char *raw = g_malloc(text.len * 3 / 4 + 1);
	unsigned char *to = raw;
	unsigned bits = 0, n_bits = 0;
	size_t i;

	for (i = 0; i < text.len; i++) {
		int value = digit_value(text.data[i]);

		if (value < 0)
			goto err;
		bits = bits << 6 | (unsigned)value;
		n_bits += 6;
		if (n_bits >= 8) {
			n_bits -= 8;
			*to++ = (unsigned char)(bits >> n_bits);
		}
	}
	if (n_bits == 6 || bits & ((1U << n_bits) - 1))
		goto err;
	*len = (size_t)(to - raw);
	return raw;
err:
	g_free(raw);
	return NULL;
}

static bool split_token(const unsigned char *raw, size_t len, struct token *out)
{
	size_t id_len;

	if (len < HEADER_LEN || raw[0] != VERSION)
		return false;
	id_len = raw[1];
	if (!id_len || id_len > KEY_ID_MAX_LEN ||
	    len < HEADER_LEN + id_len + MAC_LEN)
		return false;
	out->id = (struct str){ (const char *)raw + HEADER_LEN, id_len };
	out->mac = raw + HEADER_LEN + id_len;
	out->body.data = (const char *)out->mac + MAC_LEN;
	out->body.len = len - HEADER_LEN - id_len - MAC_LEN;
	return true;
}

static const struct key_conf *find_key(struct model *keys, struct str id)
{
	char key[KEY_ID_MAX_LEN + 8];
	struct item *item;

	if (memchr(id.data, '\0', id.len))
		return NULL;
	snprintf(key, sizeof(key), "key/%.*s", (int)id.len, id.data);
	item = model_get(keys, key);
	return item && !item->removed ? &item->u.signing_key : NULL;
}

/*
 * Whether a configured key signed the token. The comparison takes the same time
 * wherever the first wrong byte is, so a forger can't find the right bytes one
 * by one.
 */
static bool token_is_signed(struct model *keys, const struct token *t)
{
	const struct key_conf *key = find_key(keys, t->id);
	unsigned char mac[MAC_LEN];

	return key && compute_mac(key, t->id, t->body, mac) &&
	       !CRYPTO_memcmp(mac, t->mac, MAC_LEN);
}

static bool read_entry(const msgpack_object *fields, struct session_entry *out)
{
	const msgpack_object_str *name = &fields[0].via.str;

	if (fields[0].type != MSGPACK_OBJECT_STR ||
	    fields[1].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	if (!name->size || name->size >= sizeof(out->database) ||
	    memchr(name->ptr, '\0', name->size))
		return false;
	memcpy(out->database, name->ptr, name->size);
	out->database[name->size] = '\0';
	out->seen.term = fields[1].via.u64;
	out->seen.index = fields[2].via.u64;
	return true;
}

static bool read_entries(const msgpack_object *list, struct session *out)
{
	unsigned i;

	if (list->type != MSGPACK_OBJECT_ARRAY ||
	    list->via.array.size % ENTRY_FIELDS != 0 ||
	    list->via.array.size / ENTRY_FIELDS > SESSION_MAX_DATABASES)
		return false;
	out->count = list->via.array.size / ENTRY_FIELDS;
	for (i = 0; i < out->count; i++) {
		if (!read_entry(&list->via.array.ptr[(size_t)i * ENTRY_FIELDS],
				&out->entries[i]))
			return false;
	}
	return true;
}

static bool read_body(struct str body, struct session *out)
{
	msgpack_unpacked unpacked;
	size_t offset = 0;
	bool ok;

	msgpack_unpacked_init(&unpacked);
	ok = msgpack_unpack_next(&unpacked, body.data, body.len, &offset) ==
	     MSGPACK_UNPACK_SUCCESS;
	ok = ok && offset == body.len && read_entries(&unpacked.data, out);
	msgpack_unpacked_destroy(&unpacked);
	return ok;
}

/* Reads the raw bytes; returns NULL, or what is wrong with them. */
static const char *read_token(struct model *keys, const unsigned char *raw,
			      size_t len, struct session *out)
{
	struct token token;

	if (!split_token(raw, len, &token))
		return "is malformed";
	if (!token_is_signed(keys, &token))
		return "has no valid signature";
	if (!read_body(token.body, out))
		return "has a malformed body";
	return NULL;
}

/*
 * Reads a token signed with any configured key, also one that no longer signs
 * new tokens, so that sessions outlive a change of keys. The empty text is an
 * empty session. For anything else fails with BAD_SESSION and an empty *out;
 * the entries aren't read unless the signature is valid.
 */
bool session_decode(struct model *keys, struct str text, struct session *out,
		    struct err *err)
{
	const char *problem;
	unsigned char *raw;
	size_t len;

	out->count = 0;
	if (!text.len)
		return true;
	if (text.len > SESSION_MAX_TEXT_LEN)
		return fail(err, "is too long");
	raw = decode_base64url(text, &len);
	if (!raw)
		return fail(err, "is not base64url");
	problem = read_token(keys, raw, len, out);
	g_free(raw);
	if (!problem)
		return true;
	out->count = 0;
	return fail(err, problem);
}

/* Packs the newest entries, as many as fit into max bytes. */
static void pack_entries(const struct session *s, size_t max,
			 msgpack_sbuffer *out)
{
	unsigned first = 0;

	do {
		msgpack_packer packer;
		unsigned i;

		out->size = 0;
		msgpack_packer_init(&packer, out, msgpack_sbuffer_write);
		msgpack_pack_array(&packer,
				   (s->count - first) * (size_t)ENTRY_FIELDS);
		for (i = first; i < s->count; i++) {
			const struct session_entry *e = &s->entries[i];
			size_t len = strlen(e->database);

			msgpack_pack_str(&packer, len);
			msgpack_pack_str_body(&packer, e->database, len);
			msgpack_pack_uint64(&packer, e->seen.term);
			msgpack_pack_uint64(&packer, e->seen.index);
		}
		first++;
	} while (out->size > max);
}

/*
 * Appends the token, signed with the signing key of the highest revision. What
 * doesn't fit into SESSION_MAX_TEXT_LEN is left out, the oldest entries first.
 * Fails with INTERNAL when there is no key to sign with.
 */
bool session_encode(struct model *keys, const struct session *session,
		    GString *out, struct err *err)
{
	unsigned char raw[MAX_RAW_LEN];
	unsigned char *mac;
	const struct key_conf *key = model_signing_key(keys);
	msgpack_sbuffer body;
	struct str id;
	size_t head;
	bool ok;

	if (!key) {
		err_set(err, ERR_INTERNAL, "no key signs session tokens");
		return false;
	}
	id = str_from_c(key->id);
	raw[0] = VERSION;
	raw[1] = (unsigned char)id.len;
	memcpy(raw + HEADER_LEN, id.data, id.len);
	mac = raw + HEADER_LEN + id.len;
	head = HEADER_LEN + id.len + MAC_LEN;
	msgpack_sbuffer_init(&body);
	pack_entries(session, sizeof(raw) - head, &body);
	memcpy(raw + head, body.data, body.size);
	ok = compute_mac(key, id, (struct str){ body.data, body.size }, mac);
	if (ok)
		append_base64url(out, raw, head + body.size);
	else
		err_set(err, ERR_INTERNAL, "HMAC failed");
	msgpack_sbuffer_destroy(&body);
	return ok;
}

static int find_entry(const struct session *s, const char *database)
{
	unsigned i;

	for (i = 0; i < s->count; i++) {
		if (!strcmp(s->entries[i].database, database))
			return (int)i;
	}
	return -1;
}

/* What the session has seen of "service/database"; term 0: nothing. */
struct position session_seen(const struct session *s, const char *database)
{
	int i = find_entry(s, database);

	return i < 0 ? (struct position){ 0, 0 } : s->entries[i].seen;
}

static void drop_entry(struct session *s, unsigned i)
{
	s->count--;
	memmove(&s->entries[i], &s->entries[i + 1],
		(s->count - i) * sizeof(s->entries[0]));
}

static bool position_above(struct position a, struct position b)
{
	return a.term > b.term || (a.term == b.term && a.index > b.index);
}

/*
 * Raises what the session has seen; a lower position changes nothing. The
 * database becomes the one seen last. When there are too many, the one not seen
 * for longest is dropped, and later reads of that database may return older
 * data than the session has seen.
 */
void session_raise(struct session *s, const char *database, struct position p)
{
	struct session_entry entry = { .seen = p };
	int i = find_entry(s, database);

	if (!p.term || strlen(database) >= sizeof(entry.database))
		return;
	g_strlcpy(entry.database, database, sizeof(entry.database));
	if (i >= 0) {
		if (position_above(s->entries[i].seen, p))
			entry.seen = s->entries[i].seen;
		drop_entry(s, (unsigned)i);
	} else if (s->count == SESSION_MAX_DATABASES) {
		drop_entry(s, 0);
	}
	s->entries[s->count++] = entry;
}
