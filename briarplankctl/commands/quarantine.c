#include "../table.h"

static const char *const columns[] = {
	"part",	   "key",    "state",	   "crashes",
	"refuted", "trials", "last_crash", NULL,
};

const struct table_format quarantine_table = { "quarantine", columns };
