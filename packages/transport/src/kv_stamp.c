#include <celeryquay/transport/kv_stamp.h>

#include <celeryquay/base/str.h>

/* The stamp of a revision; with era 0 the number itself. */
uint64_t kv_stamp(uint64_t era, uint64_t revision)
{
	return era << KV_REVISION_BITS | revision;
}

/* The era of a stamp. */
uint64_t kv_stamp_era(uint64_t stamp)
{
	return stamp >> KV_REVISION_BITS;
}

/* The revision of a stamp, as the store counts. */
uint64_t kv_stamp_revision(uint64_t stamp)
{
	return stamp & KV_REVISION_MAX;
}

/* Parses an era; NULL: the store has none, it is 0. False: malformed. */
bool kv_stamp_parse_era(const char *text, uint64_t *era)
{
	*era = 0;
	return !text ||
	       (str_to_u64(str_from_c(text), era) && *era <= KV_ERA_MAX);
}
