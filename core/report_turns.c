/* Chooses the targets of an agent's load reports. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/report_turns.h"

static int compare_targets(const void *a, const void *b)
{
	const struct report_target *left = a;
	const struct report_target *right = b;

	if (left->recent != right->recent)
		return left->recent ? -1 : 1;
	if (left->sent_ms != right->sent_ms)
		return left->sent_ms < right->sent_ms ? -1 : 1;
	return strcmp(left->name, right->name);
}

size_t report_turns_pick(struct report_target *targets, size_t nr)
{
	if (nr <= REPORT_TURNS_MAX)
		return nr;
	qsort(targets, nr, sizeof(*targets), compare_targets);
	return REPORT_TURNS_MAX;
}
