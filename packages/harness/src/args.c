#include "args.h"

/* Appends one formatted argument. */
void args_add(GPtrArray *args, const char *fmt, ...)
{
	va_list list;

	va_start(list, fmt);
	g_ptr_array_add(args, g_strdup_vprintf(fmt, list));
	va_end(list);
}

/* Starts a program as child_start() does; frees `args`. */
struct child *args_start(const char *program, GPtrArray *args, struct err *err)
{
	struct child *child;

	g_ptr_array_add(args, NULL);
	child = child_start(program, (const char *const *)args->pdata, err);
	g_ptr_array_free(args, TRUE);
	return child;
}

/* Returns an empty list of arguments. */
GPtrArray *args_create(void)
{
	return g_ptr_array_new_with_free_func(g_free);
}
