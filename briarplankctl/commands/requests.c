#include "../table.h"

static const char *const columns[] = {
	"id", "caller", "service", "state", "server", "age_ms", "node", NULL,
};

const struct table_format requests_table = { "requests", columns };
