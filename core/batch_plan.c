#include <glib.h>

#include "core/batch_plan.h"

/* Weight of a new sample in the moving averages. */
#define SMOOTHING 0.1
/* Minimum estimate of the remaining work of a running item, as a share of the
 * average length; used for items that are already longer than average. */
#define REMAINING_SHARE_MIN 0.1

static void update_average(double *value, double sample)
{
	*value = *value > 0 ? *value + SMOOTHING * (sample - *value) : sample;
}

void item_length_record_item(struct item_length *length, uint64_t events)
{
	update_average(&length->events, (double)events);
}

void item_length_record_run(struct item_length *length, uint64_t events,
			    double ms)
{
	if (events)
		update_average(&length->event_ms, ms / (double)events);
}

double item_length_left_ms(const struct item_length *length,
			   uint64_t events_done)
{
	double left = length->events - (double)events_done;

	return MAX(left, length->events * REMAINING_SHARE_MIN) *
	       length->event_ms;
}

/* Returns the value of slot time spent on an item: its total work divided by
 * its remaining work. */
static double value_of(const struct batch_plan_item *item)
{
	return (item->done_ms + item->left_ms) / MAX(item->left_ms, 1);
}

static gint compare_values(gconstpointer a, gconstpointer b, gpointer data)
{
	double left = value_of(a), right = value_of(b);

	(void)data;
	return left < right ? -1 : left > right;
}

/* Marks late items by the Moore-Hodgson algorithm, with all slots taken as one
 * machine of their combined speed. */
void batch_plan(struct batch_plan_item *items, size_t nr, double slots,
		uint64_t now_ms)
{
	GSequence *planned = g_sequence_new(NULL);
	double work_ms = 0;
	size_t i;

	for (i = 0; i < nr; i++) {
		struct batch_plan_item *item = &items[i];
		double time_ms = (double)item->due_ms - (double)now_ms;

		item->late = item->left_ms > time_ms;
		if (item->late)
			continue;
		g_sequence_insert_sorted(planned, item, compare_values, NULL);
		work_ms += item->left_ms;
		while (work_ms > time_ms * slots) {
			GSequenceIter *least =
				g_sequence_get_begin_iter(planned);
			struct batch_plan_item *dropped;

			if (g_sequence_iter_is_end(least))
				break;
			dropped = g_sequence_get(least);
			dropped->late = true;
			work_ms -= dropped->left_ms;
			g_sequence_remove(least);
		}
	}
	g_sequence_free(planned);
}
