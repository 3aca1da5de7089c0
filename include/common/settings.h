/**
 * Loads settings files, JSON with comments, as described by a table of keys.
 *
 * The table lists the keys with their types, units and ranges, and the offsets
 * of their values in a target struct. All errors are reported with their
 * lines; a file with any error is rejected.
 */
#ifndef BRIARPLANK_COMMON_SETTINGS_H
#define BRIARPLANK_COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum setting_type {
	/** A string: char *, owned by the target. */
	SETTING_STRING,
	/** An integer: int64_t within min and max, in the unit of the spec. */
	SETTING_INT,
	/**
	 * A duration: int64_t in ms, written in the file in seconds with or
	 * without a fraction; min and max are in ms.
	 */
	SETTING_SECONDS,
	/**
	 * A number: int64_t in thousandths, written in the file with or without
	 * a fraction; min and max are in thousandths.
	 */
	SETTING_NUMBER,
	/** A boolean: bool. */
	SETTING_BOOL,
	/** An address: char * of the form IP:PORT with a numeric IP. */
	SETTING_ADDRESS,
	/** One of several texts: int, the index of the text in choices. */
	SETTING_CHOICE,
	/** A list: struct setting_array of elements described by item_specs. */
	SETTING_LIST,
};

/** A list of elements, owned by the target. */
struct setting_array {
	void *items;
	size_t nr;
};

/** Describes one key. A table ends with an entry whose path is NULL. */
struct setting_spec {
	/** Dotted path within the enclosing object, such as "web.listen". */
	const char *path;
	enum setting_type type;
	/** Offset of the value in the target struct. */
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	const char *unit;
	/** Default value as JSON scalar text, or NULL. */
	const char *default_value;
	/** NULL-terminated valid values of a SETTING_CHOICE. */
	const char *const *choices;
	const struct setting_spec *item_specs;
	size_t item_size;
	/** One-line description for the settings reference. */
	const char *help;
};

enum settings_status {
	SETTINGS_OK,
	SETTINGS_UNREADABLE,
	SETTINGS_INVALID,
};

/** An error in a settings file. The line is 0 for the file as a whole. */
struct settings_error {
	int line;
	char *message;
};

/**
 * Reads a file into target, which must be zeroed. Appends to errors, an array
 * of struct settings_error made by settings_errors_new().
 */
enum settings_status settings_load(const char *file,
				   const struct setting_spec *specs,
				   void *target, GPtrArray *errors);

/** Like settings_load(), for text that is already in memory. */
enum settings_status settings_parse(const char *text,
				    const struct setting_spec *specs,
				    void *target, GPtrArray *errors);

/** Frees the values loaded into target, but not target itself. */
void settings_clear(const struct setting_spec *specs, void *target);

/** Creates an empty list of errors that frees its elements. */
GPtrArray *settings_errors_new(void);

/** Adds an error found by a check that the table cannot express. */
__attribute__((format(printf, 3, 4))) void settings_error_add(GPtrArray *errors,
							      int line,
							      const char *fmt,
							      ...);

/** Returns whether text is a numeric IP address with a port. */
bool settings_address_valid(const char *text);

#endif
