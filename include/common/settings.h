/**
 * Settings files: JSON with comments, checked against a table.
 *
 * The table says which keys exist, their types, units and ranges, and where in
 * the target struct their values go. Every fault is reported with file and
 * line; the file is taken only when it has none.
 */
#ifndef BRIARPLANK_COMMON_SETTINGS_H
#define BRIARPLANK_COMMON_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum setting_type {
	/** char *, owned by the target. */
	SETTING_STRING,
	/** int64_t within min and max, in the unit of the spec. */
	SETTING_INT,
	/** int64_t in ms from seconds, whole or not; min and max in ms. */
	SETTING_SECONDS,
	/** bool. */
	SETTING_BOOL,
	/** char * of the form IP:PORT with a numeric IP. */
	SETTING_ADDRESS,
	/** int: the index of the text in choices. */
	SETTING_CHOICE,
	/** struct setting_array of elements that item_specs describe. */
	SETTING_LIST,
};

/** A list of elements, owned by the target. */
struct setting_array {
	void *items;
	size_t nr;
};

/** One key. A table of specs ends with an entry without a path. */
struct setting_spec {
	/** Dotted path below the enclosing object, such as "web.listen". */
	const char *path;
	enum setting_type type;
	/** Offset of the value in the target struct. */
	size_t offset;
	bool required;
	int64_t min;
	int64_t max;
	const char *unit;
	/** Value taken when the key is absent, as JSON scalar text. */
	const char *fallback;
	/** NULL-terminated texts of a SETTING_CHOICE. */
	const char *const *choices;
	const struct setting_spec *item_specs;
	size_t item_size;
	/** One line for the settings reference. */
	const char *help;
};

enum settings_status {
	SETTINGS_OK,
	SETTINGS_UNREADABLE,
	SETTINGS_INVALID,
};

/** A fault in a settings file. */
struct settings_fault {
	int line;
	char *message;
};

/**
 * Reads a file into target, which must be zeroed. Faults are added to faults
 * (of struct settings_fault, made by settings_faults_new).
 */
enum settings_status settings_load(const char *file,
				   const struct setting_spec *specs,
				   void *target, GPtrArray *faults);

/** Like settings_load, for text that is already in memory. */
enum settings_status settings_parse(const char *text,
				    const struct setting_spec *specs,
				    void *target, GPtrArray *faults);

/** Frees what a load put into the target, but not the target. */
void settings_clear(const struct setting_spec *specs, void *target);

/** Makes an empty list of faults, which frees its entries. */
GPtrArray *settings_faults_new(void);

/** Adds a fault; for checks beyond the table. */
__attribute__((format(printf, 3, 4))) void settings_fault_add(GPtrArray *faults,
							      int line,
							      const char *fmt,
							      ...);

/** Tells whether text is a numeric IP address with a port. */
bool settings_address_valid(const char *text);

#endif
