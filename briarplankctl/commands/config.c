#include "../table.h"

static const char *const columns[] = {
	"key", "value", "revision", "command_id", NULL,
};

const struct table_format config_table = { "config", columns };
