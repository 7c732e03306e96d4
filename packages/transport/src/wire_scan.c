#include "wire_private.h"

/* Describes what follows the first byte of a MessagePack value. */
struct shape {
	unsigned length_bytes; /* size of a big-endian length or number */
	size_t extra; /* bytes not counted by the length */
	size_t items; /* elements or pairs, if the first byte gives them */
	unsigned per_item; /* values per item; 1: array; 2: map; 0: other */
	bool number; /* the length_bytes hold the value itself */
};

/* Shapes for the first bytes 0xc0 to 0xdf, by their low five bits. */
static const struct shape shapes[] = {
	[0x00] = { 0 }, /* nil */
	[0x02] = { 0 }, /* false */
	[0x03] = { 0 }, /* true */
	[0x04] = { .length_bytes = 1 }, /* bin */
	[0x05] = { .length_bytes = 2 },
	[0x06] = { .length_bytes = 4 },
	[0x07] = { .length_bytes = 1, .extra = 1 }, /* ext */
	[0x08] = { .length_bytes = 2, .extra = 1 },
	[0x09] = { .length_bytes = 4, .extra = 1 },
	[0x0a] = { .length_bytes = 4, .number = true }, /* float */
	[0x0b] = { .length_bytes = 8, .number = true },
	[0x0c] = { .length_bytes = 1, .number = true }, /* uint */
	[0x0d] = { .length_bytes = 2, .number = true },
	[0x0e] = { .length_bytes = 4, .number = true },
	[0x0f] = { .length_bytes = 8, .number = true },
	[0x10] = { .length_bytes = 1, .number = true }, /* int */
	[0x11] = { .length_bytes = 2, .number = true },
	[0x12] = { .length_bytes = 4, .number = true },
	[0x13] = { .length_bytes = 8, .number = true },
	[0x14] = { .extra = 2 }, /* fixext */
	[0x15] = { .extra = 3 },
	[0x16] = { .extra = 5 },
	[0x17] = { .extra = 9 },
	[0x18] = { .extra = 17 },
	[0x19] = { .length_bytes = 1 }, /* str */
	[0x1a] = { .length_bytes = 2 },
	[0x1b] = { .length_bytes = 4 },
	[0x1c] = { .length_bytes = 2, .per_item = 1 }, /* array */
	[0x1d] = { .length_bytes = 4, .per_item = 1 },
	[0x1e] = { .length_bytes = 2, .per_item = 2 }, /* map */
	[0x1f] = { .length_bytes = 4, .per_item = 2 },
};

/* The one first byte that MessagePack never uses. */
#define NEVER_USED 0xc1

static struct shape shape_of(unsigned char c)
{
	if (c < 0x80 || c >= 0xe0)
		return (struct shape){ 0 };
	if (c < 0x90)
		return (struct shape){ .items = c & 0x0f, .per_item = 2 };
	if (c < 0xa0)
		return (struct shape){ .items = c & 0x0f, .per_item = 1 };
	if (c < 0xc0)
		return (struct shape){ .extra = c & 0x1f };
	return shapes[c - 0xc0];
}

static uint64_t big_endian(const unsigned char *p, unsigned n)
{
	uint64_t value = 0;

	while (n--)
		value = value << 8 | *p++;
	return value;
}

/*
 * Skips a value's first byte, its length and the bytes of its text, binary data
 * or number. The values inside an array or map aren't skipped; *items is set to
 * their number. Returns false when the value is malformed or truncated.
 */
static bool skip_head(const unsigned char **p, const unsigned char *end,
		      size_t *items)
{
	unsigned char first = *(*p)++;
	struct shape s = shape_of(first);
	size_t left = (size_t)(end - *p);
	uint64_t length = 0;

	if (first == NEVER_USED || s.length_bytes > left)
		return false;
	if (!s.number)
		length = big_endian(*p, s.length_bytes);
	*p += s.length_bytes;
	left -= s.length_bytes;
	*items = (s.items + (s.per_item ? length : 0)) * s.per_item;
	if (!s.per_item)
		s.extra += length;
	/* Every nested value takes at least one byte. */
	if (s.extra > left || *items > left)
		return false;
	*p += s.extra;
	return true;
}

/*
 * Checks that the bytes are one complete MessagePack value, that it is nested
 * no deeper than WIRE_DEPTH_MAX, and that no array or map states more elements
 * than the remaining bytes can hold. The MessagePack library allocates an array
 * or map by its stated count before it reads the elements, so a message of five
 * bytes could make it allocate gigabytes; this check rejects such a message
 * before the library parses it. It works without recursion.
 */
bool wire_scan(struct str data, struct err *err)
{
	const unsigned char *p = (const unsigned char *)data.data;
	const unsigned char *end = p + data.len;
	size_t left[WIRE_DEPTH_MAX] = { 1 };
	unsigned depth = 0;
	size_t items;

	for (;;) {
		while (depth && !left[depth])
			depth--;
		if (!left[depth])
			break;
		left[depth]--;
		if (p == end || !skip_head(&p, end, &items))
			goto bad;
		if (!items)
			continue;
		if (++depth == WIRE_DEPTH_MAX)
			goto bad;
		left[depth] = items;
	}
	if (p == end)
		return true;
bad:
	err_set(err, ERR_BAD_MESSAGE,
		"not one complete MessagePack value: fault %zu bytes in",
		(size_t)(p - (const unsigned char *)data.data));
	return false;
}
