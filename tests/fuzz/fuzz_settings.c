/*
 * Parses arbitrary bytes as a settings file: errors are reported without a
 * crash or a leak.
 */
#include <stddef.h>
#include <string.h>

#include "common/settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

struct item {
	char *name;
	int64_t nr;
};

struct target {
	char *address;
	int64_t nr;
	bool flag;
	struct setting_array items;
};

static const struct setting_spec item_specs[] = {
	{ "name", SETTING_STRING, offsetof(struct item, name),
	  .required = true },
	{ "a.nr", SETTING_INT, offsetof(struct item, nr), .max = 9 },
	{ 0 },
};

static const struct setting_spec specs[] = {
	{ "a.address", SETTING_ADDRESS, offsetof(struct target, address) },
	{ "a.nr", SETTING_INT, offsetof(struct target, nr), .max = 100 },
	{ "flag", SETTING_BOOL, offsetof(struct target, flag) },
	{ "items", SETTING_LIST, offsetof(struct target, items),
	  .item_specs = item_specs, .item_size = sizeof(struct item) },
	{ 0 },
};

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);
	GPtrArray *faults = settings_errors_new();
	struct target target = { 0 };

	settings_parse(text, specs, &target, faults);
	settings_clear(specs, &target);
	g_ptr_array_free(faults, TRUE);
	g_free(text);
	return 0;
}
