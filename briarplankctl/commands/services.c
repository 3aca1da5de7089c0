#include "../table.h"

static const char *const columns[] = {
	"service",
	"servers",
	"servers_usable",
	"idempotent",
	"timeout_ms",
	"batch_weight",
	"first_byte_target_ms",
	"token_gap_target_ms",
	"item_attempts",
	NULL,
};

const struct table_format services_table = { "services", columns };
