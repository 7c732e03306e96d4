#include <celeryquay/core/request.h>

#include <stdarg.h>
#include <stdio.h>

/* Bytes that the memory of a request or answer grows by. */
#define ARENA_BLOCK 1024

/* Creates an empty request with one reference and its own arena. */
struct request *request_create(enum request_kind kind)
{
	struct request *r = g_new0(struct request, 1);

	r->refs = 1;
	r->kind = kind;
	r->arena = g_string_chunk_new(ARENA_BLOCK);
	r->service = r->database = r->profile = r->caller = STR("");
	r->key = r->digest = r->transaction = STR("");
	return r;
}

/* Takes a reference. */
struct request *request_ref(struct request *r)
{
	r->refs++;
	return r;
}

/* Drops a reference; the last one frees statements, body and arena. */
void request_unref(struct request *r)
{
	unsigned i;

	if (!r || --r->refs)
		return;
	for (i = 0; i < r->n_statements; i++)
		g_free(r->statements[i].params);
	g_free(r->statements);
	if (r->body)
		g_bytes_unref(r->body);
	g_string_chunk_free(r->arena);
	g_free(r);
}

/* Copies bytes and a trailing NUL into the request's arena. */
struct str request_copy_bytes(struct request *r, const char *data, size_t len)
{
	struct str s;

	s.data = g_string_chunk_insert_len(r->arena, data, (gssize)len);
	s.len = len;
	return s;
}

/* Creates an empty answer with one reference. */
struct answer *answer_create(enum outcome outcome)
{
	struct answer *a = g_new0(struct answer, 1);

	a->refs = 1;
	a->outcome = outcome;
	a->transaction = STR("");
	a->arena = g_string_chunk_new(ARENA_BLOCK);
	return a;
}

/* Creates the answer for a failure; the error code determines the outcome. */
struct answer *answer_error(enum err_code code, const char *fmt, ...)
{
	static const enum outcome outcomes[] = {
		[ERR_OUTCOME_NOT_RUN] = OUTCOME_NOT_RUN,
		[ERR_OUTCOME_ROLLED_BACK] = OUTCOME_ROLLED_BACK,
		[ERR_OUTCOME_UNKNOWN] = OUTCOME_UNKNOWN,
	};
	struct answer *a = answer_create(outcomes[err_info(code)->outcome]);
	va_list args;

	a->err.code = code;
	va_start(args, fmt);
	vsnprintf(a->err.message, sizeof(a->err.message), fmt, args);
	va_end(args);
	return a;
}

/* Takes a reference. */
struct answer *answer_ref(struct answer *a)
{
	a->refs++;
	return a;
}

/* Drops a reference; the last one frees the answer. */
void answer_unref(struct answer *a)
{
	if (!a || --a->refs)
		return;
	if (a->results)
		g_bytes_unref(a->results);
	g_string_chunk_free(a->arena);
	g_free(a);
}

/* The outcome's name in answers and logs. */
const char *outcome_name(enum outcome outcome)
{
	switch (outcome) {
	case OUTCOME_DONE:
		return "done";
	case OUTCOME_NOT_RUN:
		return err_outcome_name(ERR_OUTCOME_NOT_RUN);
	case OUTCOME_ROLLED_BACK:
		return err_outcome_name(ERR_OUTCOME_ROLLED_BACK);
	case OUTCOME_UNKNOWN:
		break;
	}
	return err_outcome_name(ERR_OUTCOME_UNKNOWN);
}
