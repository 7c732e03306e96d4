#include "server_wire.h"

#include <string.h>

/* Reads one byte. */
uint8_t wire_get_u8(struct wire_in *in)
{
	const uint8_t *at = wire_get_bytes(in, 1);

	return at ? *at : 0;
}

/* Reads a 16-bit number. */
int16_t wire_get_i16(struct wire_in *in)
{
	const uint8_t *at = wire_get_bytes(in, 2);
	uint16_t value;

	if (!at)
		return 0;
	memcpy(&value, at, sizeof(value));
	return (int16_t)GUINT16_FROM_BE(value);
}

/* Reads a 32-bit number. */
int32_t wire_get_i32(struct wire_in *in)
{
	const uint8_t *at = wire_get_bytes(in, 4);
	uint32_t value;

	if (!at)
		return 0;
	memcpy(&value, at, sizeof(value));
	return (int32_t)GUINT32_FROM_BE(value);
}

/* Reads a 64-bit number. */
uint64_t wire_get_u64(struct wire_in *in)
{
	const uint8_t *at = wire_get_bytes(in, 8);
	uint64_t value;

	if (!at)
		return 0;
	memcpy(&value, at, sizeof(value));
	return GUINT64_FROM_BE(value);
}

/* Reads a string that ends with a zero byte; "" when there is none. */
const char *wire_get_cstr(struct wire_in *in)
{
	const char *start = (const char *)in->at;
	const uint8_t *zero;

	if (in->bad)
		return "";
	zero = memchr(in->at, 0, (size_t)(in->end - in->at));
	if (!zero) {
		in->bad = true;
		return "";
	}
	in->at = zero + 1;
	return start;
}

/* Returns the next `len` bytes, or NULL when the message has fewer. */
const uint8_t *wire_get_bytes(struct wire_in *in, size_t len)
{
	const uint8_t *start = in->at;

	if (in->bad || (size_t)(in->end - in->at) < len) {
		in->bad = true;
		return NULL;
	}
	in->at += len;
	return start;
}

/* Appends one byte. */
void wire_put_u8(GByteArray *out, uint8_t value)
{
	g_byte_array_append(out, &value, 1);
}

/* Appends a 16-bit number. */
void wire_put_i16(GByteArray *out, int16_t value)
{
	uint16_t be = GUINT16_TO_BE((uint16_t)value);

	g_byte_array_append(out, (const guint8 *)&be, sizeof(be));
}

/* Appends a 32-bit number. */
void wire_put_i32(GByteArray *out, int32_t value)
{
	uint32_t be = GUINT32_TO_BE((uint32_t)value);

	g_byte_array_append(out, (const guint8 *)&be, sizeof(be));
}

/* Appends a 64-bit number. */
void wire_put_u64(GByteArray *out, uint64_t value)
{
	uint64_t be = GUINT64_TO_BE(value);

	g_byte_array_append(out, (const guint8 *)&be, sizeof(be));
}

/* Appends a string with its zero byte. */
void wire_put_cstr(GByteArray *out, const char *value)
{
	wire_put_bytes(out, value, strlen(value) + 1);
}

/* Appends bytes as they are. */
void wire_put_bytes(GByteArray *out, const void *data, size_t len)
{
	if (len)
		g_byte_array_append(out, data, (guint)len);
}

/* Appends a value of a data row: its length, then its bytes. */
void wire_put_value(GByteArray *out, const void *data, size_t len)
{
	wire_put_i32(out, (int32_t)len);
	wire_put_bytes(out, data, len);
}

/* Starts a message; the result goes to wire_end(), which sets the length. */
size_t wire_begin(GByteArray *out, char type)
{
	size_t start;

	wire_put_u8(out, (uint8_t)type);
	start = out->len;
	wire_put_i32(out, 0);
	return start;
}

/* Ends the message that wire_begin() started. */
void wire_end(GByteArray *out, size_t start)
{
	uint32_t len = GUINT32_TO_BE((uint32_t)(out->len - start));

	memcpy(out->data + start, &len, sizeof(len));
}

/* Appends a message without fields. */
void wire_put_empty(GByteArray *out, char type)
{
	wire_end(out, wire_begin(out, type));
}

/* Appends an authentication request; 0 says that none is needed. */
void wire_put_auth(GByteArray *out, int32_t method)
{
	size_t start = wire_begin(out, 'R');

	wire_put_i32(out, method);
	wire_end(out, start);
}

/* Appends a ParameterStatus message. */
void wire_put_parameter(GByteArray *out, const char *name, const char *value)
{
	size_t start = wire_begin(out, 'S');

	wire_put_cstr(out, name);
	wire_put_cstr(out, value);
	wire_end(out, start);
}

/* Appends ReadyForQuery with the transaction state: 'I', 'T' or 'E'. */
void wire_put_ready(GByteArray *out, char state)
{
	size_t start = wire_begin(out, 'Z');

	wire_put_u8(out, (uint8_t)state);
	wire_end(out, start);
}

/* Appends CommandComplete. */
void wire_put_tag(GByteArray *out, const char *tag)
{
	size_t start = wire_begin(out, 'C');

	wire_put_cstr(out, tag);
	wire_end(out, start);
}

/* The size that RowDescription gives for a type; -1 is a varying one. */
static int16_t type_size(int32_t oid)
{
	switch (oid) {
	case WIRE_OID_BOOL:
		return 1;
	case WIRE_OID_INT8:
	case WIRE_OID_FLOAT8:
		return 8;
	default:
		return -1;
	}
}

/* Appends one column to the RowDescription message that is being built. */
void wire_put_column(GByteArray *out, const char *name, int32_t oid,
		     int16_t format)
{
	wire_put_cstr(out, name);
	wire_put_i32(out, 0);
	wire_put_i16(out, 0);
	wire_put_i32(out, oid);
	wire_put_i16(out, type_size(oid));
	wire_put_i32(out, -1);
	wire_put_i16(out, format);
}

/* Appends one field of an error. */
static void put_field(GByteArray *out, char code, const char *value)
{
	wire_put_u8(out, (uint8_t)code);
	wire_put_cstr(out, value);
}

/* Appends an ErrorResponse; the severity is "ERROR" or "FATAL". */
void wire_put_error(GByteArray *out, const char *severity, const char *state,
		    const char *message)
{
	size_t start = wire_begin(out, 'E');

	put_field(out, 'S', severity);
	put_field(out, 'V', severity);
	put_field(out, 'C', state);
	put_field(out, 'M', message);
	wire_put_u8(out, 0);
	wire_end(out, start);
}
