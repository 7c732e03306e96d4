#include <celeryquay/core/retry.h>

#define RETRY_COST 1.0

/* Starts with a full budget. */
void retry_budget_init(struct retry_budget *b, double tokens_per_first_try,
		       double max_tokens)
{
	b->tokens_per_first_try = tokens_per_first_try;
	b->max_tokens = max_tokens;
	b->tokens = max_tokens;
}

/* Each first try earns tokens, up to max_tokens. */
void retry_budget_on_first_try(struct retry_budget *b)
{
	b->tokens += b->tokens_per_first_try;
	if (b->tokens > b->max_tokens)
		b->tokens = b->max_tokens;
}

/*
 * Takes a token for a retry; false: none left, don't retry. Without the budget,
 * requests that fail because servers are overloaded come back as more load, and
 * the overload sustains itself after its cause is gone. Beyond the initial
 * tokens, retries are at most the earned fraction of the first tries, whatever
 * fails.
 */
bool retry_budget_take(struct retry_budget *b)
{
	if (b->tokens < RETRY_COST)
		return false;
	b->tokens -= RETRY_COST;
	return true;
}
