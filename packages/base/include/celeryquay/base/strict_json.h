#ifndef CELERYQUAY_BASE_STRICT_JSON_H
#define CELERYQUAY_BASE_STRICT_JSON_H

/*
 * The only way to JSON-GLib's parser. JSON-GLib recurses for each level of
 * nesting and reads more than JSON, so a text is checked against RFC 8259
 * first; what JSON-GLib would read otherwise is refused.
 */

#include <celeryquay/base/err.h>
#include <celeryquay/base/str.h>
#include <json-glib/json-glib.h>

/* Levels of nesting of a text that may come from outside. */
#define STRICT_JSON_DEPTH_MAX 32

/*
 * Checks that the text is exactly one JSON value, nested at most depth_max (up
 * to 63) levels. members: set to the number of members of all objects; may be
 * NULL. Fails with BAD_JSON, TOO_DEEP, or BAD_FIELD for what JSON-GLib can't
 * represent: an integer of more than 64 bits, or a NUL in a string. A number
 * beyond the range of a double is read as infinite.
 */
bool strict_json_check(struct str text, unsigned depth_max, unsigned *members,
		       struct err *err);
/* Checks the text and has the parser read it. err may be NULL. */
bool strict_json_load(JsonParser *parser, struct str text, struct err *err);
/* The same for a text of any type; NULL on failure. The caller owns it. */
JsonNode *strict_json_parse(struct str text, struct err *err);

#endif
