#include <stdarg.h>
#include <string.h>

#include <json-c/json.h>
#include <uv.h>

#include "common/json_lines.h"
#include "common/settings.h"

/* Maximum size of a settings file in bytes. */
#define SETTINGS_MAX_BYTES (16 << 20)

struct loader {
	GHashTable *lines;
	GPtrArray *errors;
};

static void error_free(void *data)
{
	struct settings_error *error = data;

	g_free(error->message);
	g_free(error);
}

GPtrArray *settings_errors_new(void)
{
	return g_ptr_array_new_with_free_func(error_free);
}

static void error_add_args(GPtrArray *errors, int line, const char *fmt,
			   va_list args)
{
	struct settings_error *error = g_new0(struct settings_error, 1);

	error->line = line;
	error->message = g_strdup_vprintf(fmt, args);
	g_ptr_array_add(errors, error);
}

void settings_error_add(GPtrArray *errors, int line, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	error_add_args(errors, line, fmt, args);
	va_end(args);
}

__attribute__((format(printf, 3, 4))) static void path_error(
	struct loader *load, const char *path, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	error_add_args(load->errors, json_lines_find(load->lines, path), fmt,
		       args);
	va_end(args);
}

static char *path_join(const char *prefix, const char *path)
{
	return *prefix ? g_strdup_printf("%s.%s", prefix, path) :
			 g_strdup(path);
}

bool settings_address_valid(const char *text)
{
	const char *colon = strrchr(text, ':');
	struct sockaddr_in in4;
	struct sockaddr_in6 in6;
	char *host, *end;
	guint64 port;
	bool valid;

	if (!colon || !colon[1])
		return false;
	port = g_ascii_strtoull(colon + 1, &end, 10);
	if (*end || port > 65535)
		return false;
	if (*text == '[' && colon > text + 1 && colon[-1] == ']')
		host = g_strndup(text + 1, colon - text - 2);
	else
		host = g_strndup(text, colon - text);
	valid = !uv_ip4_addr(host, (int)port, &in4) ||
		!uv_ip6_addr(host, (int)port, &in6);
	g_free(host);
	return valid;
}

static void store_string(char **slot, const char *text)
{
	g_free(*slot);
	*slot = g_strdup(text);
}

static void load_string(struct loader *load, const struct setting_spec *spec,
			const char *path, struct json_object *value,
			char **slot)
{
	const char *text;

	if (!json_object_is_type(value, json_type_string)) {
		path_error(load, path, "%s must be a string", path);
		return;
	}
	text = json_object_get_string(value);
	if (spec->type == SETTING_ADDRESS && !settings_address_valid(text)) {
		path_error(
			load, path,
			"%s must be a numeric IP address with a port, not \"%s\"",
			path, text);
		return;
	}
	store_string(slot, text);
}

static void load_int(struct loader *load, const struct setting_spec *spec,
		     const char *path, struct json_object *value, int64_t *slot)
{
	const char *unit = spec->unit ? spec->unit : "";
	int64_t nr;

	if (!json_object_is_type(value, json_type_int)) {
		path_error(load, path, "%s must be a whole number", path);
		return;
	}
	nr = json_object_get_int64(value);
	if (nr < spec->min || nr > spec->max) {
		path_error(load, path,
			   "%s must lie between %" PRId64 " and %" PRId64
			   " %s, not %" PRId64,
			   path, spec->min, spec->max, unit, nr);
		return;
	}
	*slot = nr;
}

/* Loads a number that is kept in thousandths: a duration, or without a unit. */
static void load_thousandths(struct loader *load,
			     const struct setting_spec *spec, const char *path,
			     struct json_object *value, int64_t *slot)
{
	bool seconds = spec->type == SETTING_SECONDS;
	double thousandths;

	if (!json_object_is_type(value, json_type_int) &&
	    !json_object_is_type(value, json_type_double)) {
		path_error(load, path, "%s must be a number%s", path,
			   seconds ? " of seconds" : "");
		return;
	}
	thousandths = json_object_get_double(value) * 1000;
	if (!(thousandths >= (double)spec->min &&
	      thousandths <= (double)spec->max)) {
		path_error(load, path,
			   "%s must lie between %g and %g%s, not %g", path,
			   (double)spec->min / 1000, (double)spec->max / 1000,
			   seconds ? " s" : "", thousandths / 1000);
		return;
	}
	*slot = (int64_t)thousandths;
}

static void load_choice(struct loader *load, const struct setting_spec *spec,
			const char *path, struct json_object *value, int *slot)
{
	const char *text = json_object_get_string(value);
	char *all;
	int i;

	for (i = 0; text && spec->choices[i]; i++) {
		if (strcmp(text, spec->choices[i]))
			continue;
		*slot = i;
		return;
	}
	all = g_strjoinv(", ", (char **)spec->choices);
	path_error(load, path, "%s must be one of %s", path, all);
	g_free(all);
}

static void load_object(struct loader *load, const struct setting_spec *specs,
			const char *prefix, struct json_object *object,
			void *target);

static void load_list(struct loader *load, const struct setting_spec *spec,
		      const char *path, struct json_object *value,
		      struct setting_array *slot)
{
	size_t i;

	if (!json_object_is_type(value, json_type_array)) {
		path_error(load, path, "%s must be a list", path);
		return;
	}
	slot->nr = json_object_array_length(value);
	slot->items = g_malloc0_n(slot->nr, spec->item_size);
	for (i = 0; i < slot->nr; i++) {
		char *child = g_strdup_printf("%s[%zu]", path, i);

		load_object(load, spec->item_specs, child,
			    json_object_array_get_idx(value, i),
			    (char *)slot->items + i * spec->item_size);
		g_free(child);
	}
}

static void load_value(struct loader *load, const struct setting_spec *spec,
		       const char *path, struct json_object *value, void *slot)
{
	switch (spec->type) {
	case SETTING_STRING:
	case SETTING_ADDRESS:
		load_string(load, spec, path, value, slot);
		break;
	case SETTING_INT:
		load_int(load, spec, path, value, slot);
		break;
	case SETTING_SECONDS:
	case SETTING_NUMBER:
		load_thousandths(load, spec, path, value, slot);
		break;
	case SETTING_BOOL:
		if (json_object_is_type(value, json_type_boolean))
			*(bool *)slot = json_object_get_boolean(value);
		else
			path_error(load, path, "%s must be true or false",
				   path);
		break;
	case SETTING_CHOICE:
		load_choice(load, spec, path, value, slot);
		break;
	case SETTING_LIST:
		load_list(load, spec, path, value, slot);
		break;
	}
}

static struct json_object *find_path(struct json_object *object,
				     const char *path)
{
	char **parts = g_strsplit(path, ".", -1);
	char **part;

	for (part = parts; *part && object; part++) {
		struct json_object *child = NULL;

		if (json_object_is_type(object, json_type_object))
			json_object_object_get_ex(object, *part, &child);
		object = child;
	}
	g_strfreev(parts);
	return object;
}

static void load_fallback(struct loader *load, const struct setting_spec *spec,
			  const char *path, void *slot)
{
	struct json_object *value;

	if (!spec->default_value)
		return;
	value = json_tokener_parse(spec->default_value);
	load_value(load, spec, path, value, slot);
	json_object_put(value);
}

/* Relation of a path to a table: not in it, a parent of a key, or a key. */
enum path_match { PATH_UNKNOWN, PATH_PARENT, PATH_KEY };

static enum path_match match_path(const struct setting_spec *specs,
				  const char *path)
{
	size_t len = strlen(path);

	for (; specs->path; specs++) {
		if (!strcmp(specs->path, path))
			return PATH_KEY;
		if (!strncmp(specs->path, path, len) && specs->path[len] == '.')
			return PATH_PARENT;
	}
	return PATH_UNKNOWN;
}

static void check_unknown(struct loader *load, const struct setting_spec *specs,
			  const char *prefix, const char *below,
			  struct json_object *object)
{
	json_object_object_foreach(object, key, value)
	{
		char *path = path_join(below, key);
		char *full = path_join(prefix, path);

		switch (match_path(specs, path)) {
		case PATH_UNKNOWN:
			path_error(load, full, "%s is not a known key", full);
			break;
		case PATH_PARENT:
			if (json_object_is_type(value, json_type_object))
				check_unknown(load, specs, prefix, path, value);
			else
				path_error(load, full, "%s must be an object",
					   full);
			break;
		case PATH_KEY:
			break;
		}
		g_free(full);
		g_free(path);
	}
}

static void load_object(struct loader *load, const struct setting_spec *specs,
			const char *prefix, struct json_object *object,
			void *target)
{
	const struct setting_spec *spec;

	if (!json_object_is_type(object, json_type_object)) {
		path_error(load, prefix, "%s must be an object",
			   *prefix ? prefix : "the file");
		return;
	}
	check_unknown(load, specs, prefix, "", object);
	for (spec = specs; spec->path; spec++) {
		struct json_object *value = find_path(object, spec->path);
		char *path = path_join(prefix, spec->path);
		void *slot = (char *)target + spec->offset;

		if (value)
			load_value(load, spec, path, value, slot);
		else if (spec->required)
			path_error(load, path, "%s is missing", path);
		else
			load_fallback(load, spec, path, slot);
		g_free(path);
	}
}

static int line_number(const char *text, size_t offset)
{
	int line = 1;
	size_t i;

	for (i = 0; i < offset && text[i]; i++)
		line += text[i] == '\n';
	return line;
}

static struct json_object *parse_text(const char *text, GPtrArray *errors)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;
	enum json_tokener_error error;

	root = json_tokener_parse_ex(tok, text, (int)strlen(text) + 1);
	error = json_tokener_get_error(tok);
	if (error != json_tokener_success) {
		settings_error_add(
			errors,
			line_number(text, json_tokener_get_parse_end(tok)),
			"not valid JSON: %s", json_tokener_error_desc(error));
		json_object_put(root);
		root = NULL;
	}
	json_tokener_free(tok);
	return root;
}

enum settings_status settings_parse(const char *text,
				    const struct setting_spec *specs,
				    void *target, GPtrArray *errors)
{
	struct loader load = { .errors = errors };
	struct json_object *root = parse_text(text, errors);

	if (!root) {
		if (!errors->len)
			settings_error_add(errors, 1, "the file is empty");
		return SETTINGS_INVALID;
	}
	load.lines = json_lines_index(text);
	load_object(&load, specs, "", root, target);
	g_hash_table_destroy(load.lines);
	json_object_put(root);
	return errors->len ? SETTINGS_INVALID : SETTINGS_OK;
}

enum settings_status settings_load(const char *file,
				   const struct setting_spec *specs,
				   void *target, GPtrArray *errors)
{
	enum settings_status status;
	GError *error = NULL;
	char *text;
	gsize len;

	if (!g_file_get_contents(file, &text, &len, &error)) {
		settings_error_add(errors, 0, "%s", error->message);
		g_error_free(error);
		return SETTINGS_UNREADABLE;
	}
	if (len > SETTINGS_MAX_BYTES) {
		settings_error_add(errors, 0, "the file is too large");
		status = SETTINGS_INVALID;
	} else {
		status = settings_parse(text, specs, target, errors);
	}
	g_free(text);
	return status;
}

static void clear_list(const struct setting_spec *spec,
		       struct setting_array *array)
{
	size_t i;

	for (i = 0; i < array->nr; i++)
		settings_clear(spec->item_specs,
			       (char *)array->items + i * spec->item_size);
	g_free(array->items);
	array->items = NULL;
	array->nr = 0;
}

void settings_clear(const struct setting_spec *specs, void *target)
{
	const struct setting_spec *spec;

	for (spec = specs; spec->path; spec++) {
		void *slot = (char *)target + spec->offset;

		if (spec->type == SETTING_STRING ||
		    spec->type == SETTING_ADDRESS)
			g_clear_pointer((char **)slot, g_free);
		else if (spec->type == SETTING_LIST)
			clear_list(spec, slot);
	}
}
