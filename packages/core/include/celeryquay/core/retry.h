#ifndef CELERYQUAY_CORE_RETRY_H
#define CELERYQUAY_CORE_RETRY_H

/*
 * A retry budget: each first try earns a fraction of a token, each retry costs
 * one token. So retries can't multiply an overload.
 */

#include <stdbool.h>
#include <stdint.h>

struct retry_budget {
	double tokens;
	double max_tokens;
	double tokens_per_first_try;
};

void retry_budget_init(struct retry_budget *b, double tokens_per_first_try,
		       double max_tokens);
void retry_budget_on_first_try(struct retry_budget *b);
/* Takes a token for a retry; false: none left, don't retry. */
bool retry_budget_take(struct retry_budget *b);

#endif
