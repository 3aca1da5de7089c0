/* A bounded queue of the requests that this node refused. */
#include <glib.h>

#include "refusals.h"

/* Maximum number of refusals kept. They cover a few seconds of overload and
 * take less than 100 KB. */
#define REFUSALS_MAX 500

struct refusals {
	GQueue queue;
};

static void refusal_free(gpointer data)
{
	struct refusal *refusal = data;

	g_free(refusal->id);
	g_free(refusal->service);
	g_free(refusal->reason);
	g_free(refusal);
}

struct refusals *refusals_create(void)
{
	struct refusals *refusals = g_new0(struct refusals, 1);

	g_queue_init(&refusals->queue);
	return refusals;
}

void refusals_destroy(struct refusals *refusals)
{
	g_queue_clear_full(&refusals->queue, refusal_free);
	g_free(refusals);
}

void refusals_add(struct refusals *refusals, const struct refusal *refusal)
{
	struct refusal *kept = g_new(struct refusal, 1);

	*kept = *refusal;
	kept->id = g_strdup(refusal->id);
	kept->service = g_strdup(refusal->service);
	kept->reason = g_strdup(refusal->reason);
	g_queue_push_tail(&refusals->queue, kept);
	if (refusals->queue.length > REFUSALS_MAX)
		refusal_free(g_queue_pop_head(&refusals->queue));
}

void refusals_each(const struct refusals *refusals,
		   void (*fn)(void *ctx, const struct refusal *refusal),
		   void *ctx)
{
	const GList *link;

	for (link = refusals->queue.head; link; link = link->next)
		fn(ctx, link->data);
}
