#include <glib.h>

#include "core/batch_plan.h"

/* Weight of a new sample in the smoothed lengths. */
#define SMOOTHING 0.1
/* Share of a whole item that one of unknown rest is taken to need at least,
 * once it is as long as items usually are. */
#define REST_SHARE 0.1

static void smooth(double *value, double sample)
{
	*value = *value > 0 ? *value + SMOOTHING * (sample - *value) : sample;
}

void item_length_done(struct item_length *length, uint64_t events)
{
	smooth(&length->events, (double)events);
}

void item_length_ran(struct item_length *length, uint64_t events, double ms)
{
	if (events)
		smooth(&length->event_ms, ms / (double)events);
}

double item_length_left_ms(const struct item_length *length,
			   uint64_t events_done)
{
	double left = length->events - (double)events_done;

	return MAX(left, length->events * REST_SHARE) * length->event_ms;
}

/* How much of an item's work one ms of slot time completes. */
static double worth_of(const struct batch_plan_item *item)
{
	return (item->done_ms + item->left_ms) / MAX(item->left_ms, 1);
}

static gint compare_worth(gconstpointer a, gconstpointer b, gpointer data)
{
	double left = worth_of(a), right = worth_of(b);

	(void)data;
	return left < right ? -1 : left > right;
}

/* The method of Moore and Hodgson, with the slots as one machine of their
 * speed together. */
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
		g_sequence_insert_sorted(planned, item, compare_worth, NULL);
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
