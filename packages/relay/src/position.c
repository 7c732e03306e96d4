#include "relay_internal.h"

/*
 * Negative, zero or positive as a is before, at or after b. The term is
 * compared first.
 */
int position_cmp(struct position a, struct position b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.index != b.index)
		return a.index < b.index ? -1 : 1;
	return 0;
}

/* Returns the later of the two. */
struct position position_max(struct position a, struct position b)
{
	return position_cmp(a, b) < 0 ? b : a;
}
