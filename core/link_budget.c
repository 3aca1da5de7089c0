#include <glib.h>

#include "core/link_budget.h"

#define US_PER_S 1000000

static void refill(struct link_budget *budget, uint64_t now_us)
{
	uint64_t elapsed_us = now_us - budget->updated_us;
	int64_t room = (int64_t)budget->burst_bytes - budget->bytes;
	uint64_t bytes = elapsed_us * budget->bytes_per_s / US_PER_S;

	if (now_us <= budget->updated_us || !bytes)
		return;
	budget->bytes += MIN((int64_t)bytes, MAX(room, 0));
	budget->updated_us = now_us;
}

uint64_t link_budget_share(unsigned entries)
{
	return (uint64_t)LINK_BYTES_PER_S * LINK_ONLINE_PERCENT / 100 /
	       MAX(entries, 1);
}

void link_budget_init(struct link_budget *budget, uint64_t bytes_per_s,
		      uint64_t burst_bytes, uint64_t now_us)
{
	*budget = (struct link_budget){
		.bytes_per_s = bytes_per_s,
		.burst_bytes = burst_bytes,
		.bytes = (int64_t)burst_bytes,
		.updated_us = now_us,
	};
}

void link_budget_set(struct link_budget *budget, uint64_t bytes_per_s,
		     uint64_t burst_bytes, uint64_t now_us)
{
	refill(budget, now_us);
	budget->bytes_per_s = bytes_per_s;
	budget->burst_bytes = burst_bytes;
	budget->bytes = MIN(budget->bytes, (int64_t)burst_bytes);
}

bool link_budget_allows(struct link_budget *budget, uint64_t bytes,
			uint64_t now_us)
{
	refill(budget, now_us);
	return budget->bytes > 0 && (uint64_t)budget->bytes >= bytes;
}

void link_budget_charge(struct link_budget *budget, uint64_t bytes,
			uint64_t now_us)
{
	refill(budget, now_us);
	budget->bytes -= (int64_t)bytes;
}
