#include "../table.h"

static const char *const columns[] = {
	"id",	 "name",   "caller",	"service",
	"state", "items",  "waiting",	"running",
	"done",	 "failed", "cancelled", "outcome_unknown",
	"due",	 "node",   NULL,
};

const struct table_format jobs_table = { "jobs", columns };
