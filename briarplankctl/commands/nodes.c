#include "../table.h"

static const char *const columns[] = {
	"node",	  "role",    "state",		"data_centre",
	"region", "address", "config_revision", "round_trip_us",
	NULL,
};

const struct table_format nodes_table = { "nodes", columns };
