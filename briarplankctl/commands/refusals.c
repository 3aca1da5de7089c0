#include "../table.h"

static const char *const columns[] = {
	"time", "id", "caller", "service", "reason", "node", NULL,
};

const struct table_format refusals_table = { "refusals", columns };
