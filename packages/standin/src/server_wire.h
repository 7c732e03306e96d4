#ifndef STANDIN_SERVER_WIRE_H
#define STANDIN_SERVER_WIRE_H

/*
 * The message format of the PostgreSQL protocol, version 3: a cursor that
 * reads a message's fields and functions that append messages to a buffer.
 */

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

enum wire_oid {
	WIRE_OID_BOOL = 16,
	WIRE_OID_BYTEA = 17,
	WIRE_OID_INT8 = 20,
	WIRE_OID_INT2 = 21,
	WIRE_OID_INT4 = 23,
	WIRE_OID_TEXT = 25,
	WIRE_OID_FLOAT4 = 700,
	WIRE_OID_FLOAT8 = 701,
	WIRE_OID_NUMERIC = 1700,
};

/* A cursor over one message; `bad` is set by a read past the end. */
struct wire_in {
	const uint8_t *at;
	const uint8_t *end;
	bool bad;
};

uint8_t wire_get_u8(struct wire_in *in);
int16_t wire_get_i16(struct wire_in *in);
int32_t wire_get_i32(struct wire_in *in);
uint64_t wire_get_u64(struct wire_in *in);
const char *wire_get_cstr(struct wire_in *in);
const uint8_t *wire_get_bytes(struct wire_in *in, size_t len);

void wire_put_u8(GByteArray *out, uint8_t value);
void wire_put_i16(GByteArray *out, int16_t value);
void wire_put_i32(GByteArray *out, int32_t value);
void wire_put_u64(GByteArray *out, uint64_t value);
void wire_put_cstr(GByteArray *out, const char *value);
void wire_put_bytes(GByteArray *out, const void *data, size_t len);
void wire_put_value(GByteArray *out, const void *data, size_t len);

size_t wire_begin(GByteArray *out, char type);
void wire_end(GByteArray *out, size_t start);

void wire_put_empty(GByteArray *out, char type);
void wire_put_auth(GByteArray *out, int32_t method);
void wire_put_parameter(GByteArray *out, const char *name, const char *value);
void wire_put_ready(GByteArray *out, char state);
void wire_put_tag(GByteArray *out, const char *tag);
void wire_put_column(GByteArray *out, const char *name, int32_t oid,
		     int16_t format);
void wire_put_error(GByteArray *out, const char *severity, const char *state,
		    const char *message);

#endif
