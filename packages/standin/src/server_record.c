#include "server_record.h"

#include "server_wire.h"

/* Appends a statement and its parameters to a record. */
void record_put(GByteArray *out, const char *text,
		const struct sql_param *params, int count)
{
	int i;

	wire_put_cstr(out, text);
	wire_put_i32(out, count);
	for (i = 0; i < count; i++) {
		wire_put_i32(out, params[i].oid);
		wire_put_i16(out, params[i].format);
		wire_put_i32(out, params[i].data ? params[i].len : -1);
		if (params[i].data)
			wire_put_bytes(out, params[i].data,
				       (size_t)params[i].len);
	}
}

/* Reads one parameter of a record. */
static struct sql_param get_param(struct wire_in *in)
{
	struct sql_param param;

	param.oid = wire_get_i32(in);
	param.format = wire_get_i16(in);
	param.len = wire_get_i32(in);
	param.data = param.len < 0 ? NULL :
				     wire_get_bytes(in, (size_t)param.len);
	return param;
}

/* Runs one statement to its end. */
static bool run(struct sql_handle *handle, const char *text,
		const struct sql_param *params, int count,
		struct sql_error *err)
{
	struct sql_stmt *stmt = sql_prepare(handle, text, err);
	int rc = SQLITE_ERROR;

	if (!stmt)
		return false;
	if (sql_bind(stmt, params, count, err)) {
		do {
			rc = sqlite3_step(stmt->st);
		} while (rc == SQLITE_ROW);
		if (rc != SQLITE_DONE)
			sql_read_error(handle, err);
	}
	sql_finish(handle, stmt);
	return rc == SQLITE_DONE;
}

/* Runs the statements of a record within the handle's transaction. */
bool record_replay(struct sql_handle *handle, const uint8_t *data, size_t len,
		   struct sql_error *err)
{
	struct wire_in in = { data, data + len, false };
	struct sql_param param;
	GArray *params = g_array_new(FALSE, FALSE, sizeof(param));
	const char *text;
	bool done = true;
	int i, count;

	while (done && in.at < in.end && !in.bad) {
		text = wire_get_cstr(&in);
		count = wire_get_i32(&in);
		g_array_set_size(params, 0);
		for (i = 0; i < count && !in.bad; i++) {
			param = get_param(&in);
			g_array_append_val(params, param);
		}
		if (in.bad) {
			sql_set_error(err, "XX001", "a record is cut off");
			done = false;
			break;
		}
		done = run(handle, text,
			   (const struct sql_param *)(void *)params->data,
			   count, err);
	}
	g_array_free(params, TRUE);
	return done;
}
