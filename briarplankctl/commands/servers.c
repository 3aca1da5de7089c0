#include "../table.h"

static const char *const columns[] = {
	"server",
	"service",
	"kind",
	"state",
	"drained",
	"running_online",
	"running_batch",
	"queued_online",
	"data_centre",
	"address",
	NULL,
};

const struct table_format servers_table = { "servers", columns };
