#include <celeryquay/base/err.h>

#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#define ERR_ROW(name_, number, http, outcome_, meaning_) \
	{ .code = (number),                              \
	  .name = #name_,                                \
	  .http_status = (http),                         \
	  .outcome = ERR_OUTCOME_##outcome_,             \
	  .meaning = (meaning_) },
static const struct err_info table[] = { ERR_LIST(ERR_ROW) };
#undef ERR_ROW

/* Sets code and message; err may be NULL if the caller needs no details. */
void err_set(struct err *err, enum err_code code, const char *fmt, ...)
{
	va_list args;

	if (!err)
		return;
	err->code = code;
	va_start(args, fmt);
	vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
}

/* Prepends text to the message, to say where the failure happened. */
void err_prefix(struct err *err, const char *fmt, ...)
{
	char old[ERR_MESSAGE_SIZE];
	va_list args;
	int n;

	if (!err)
		return;
	memcpy(old, err->message, sizeof(old));
	va_start(args, fmt);
	n = vsnprintf(err->message, sizeof(err->message), fmt, args);
	va_end(args);
	if (n >= 0 && (size_t)n < sizeof(err->message))
		snprintf(err->message + n, sizeof(err->message) - (size_t)n,
			 "%s", old);
}

/* Resets to "no error". */
void err_clear(struct err *err)
{
	if (!err)
		return;
	err->code = ERR_NONE;
	err->message[0] = '\0';
}

/* Returns the row of a code; that of INTERNAL for an unknown code. */
const struct err_info *err_info(enum err_code code)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(table); i++) {
		if (table[i].code == code)
			return &table[i];
	}
	return &table[G_N_ELEMENTS(table) - 1];
}

/* Returns all rows, in ascending order of their codes. */
const struct err_info *err_table(unsigned *count)
{
	*count = G_N_ELEMENTS(table);
	return table;
}

/* The outcome's name in the JSON of an error answer. */
const char *err_outcome_name(enum err_outcome outcome)
{
	switch (outcome) {
	case ERR_OUTCOME_NOT_RUN:
		return "not_run";
	case ERR_OUTCOME_ROLLED_BACK:
		return "rolled_back";
	case ERR_OUTCOME_UNKNOWN:
		break;
	}
	return "unknown";
}
