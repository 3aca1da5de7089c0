/**
 * The keys of the configuration: their types, ranges and meaning.
 *
 * Every node must reject the same records, and out-of-range values are
 * rejected. So a later version may add keys, but must never change the range
 * of a key.
 */
#ifndef BRIARPLANK_CORE_CONFIG_KEYS_H
#define BRIARPLANK_CORE_CONFIG_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum config_key_type {
	CONFIG_KEY_BOOL,
	CONFIG_KEY_INT,
	CONFIG_KEY_TEXT,
	CONFIG_KEY_CHOICE,
};

/** One key. The table ends with an entry whose pattern is NULL. */
struct config_key {
	/** Dotted path; "*" stands for one name, as in "service.*.timeout_ms". */
	const char *pattern;
	enum config_key_type type;
	int64_t min;
	int64_t max;
	const char *unit;
	/** Default value as JSON text; NULL for none. */
	const char *default_value;
	/** NULL-terminated values of a CONFIG_KEY_CHOICE. */
	const char *const *choices;
	/** One line for the manual page. */
	const char *help;
};

enum config_check {
	CONFIG_CHECK_VALID,
	/**
	 * This version doesn't have the key: records that set it are applied,
	 * but operators can't set it.
	 */
	CONFIG_CHECK_UNKNOWN_KEY,
	/** The key or the value is malformed or out of range. */
	CONFIG_CHECK_INVALID,
};

/** All keys, sorted by pattern. */
extern const struct config_key config_keys[];

/** Returns the table entry that matches a key, or NULL. */
const struct config_key *config_key_find(const char *key);

/**
 * Checks a key and its value, which is JSON text, or empty to remove the key.
 * On failure sets an error message with the rule and its bounds.
 */
enum config_check config_key_check(const char *key, const char *value);

/**
 * Tells whether a name can be a part of a key: 1 to 64 letters, digits, dashes
 * or underscores.
 */
bool config_name_valid(const char *name, size_t len);

#endif
