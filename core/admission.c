#include <string.h>

#include <glib.h>

#include "common/list.h"
#include "core/admission.h"

/* Weight of a new sample in the moving average of service times. */
#define SERVICE_WEIGHT 0.1
/* Service time assumed before the first sample, in us. */
#define SERVICE_FIRST_US 500000.0
/* Per-caller limits apply once 1/UNLIMITED_DIVISOR of the queue is in use. */
#define UNLIMITED_DIVISOR 2
/* Minimum retry delay told to the caller of a refused request, in us. */
#define RETRY_MIN_US 100000

struct waiting {
	/* Link in the caller's queue. */
	struct list link;
	/* Position in the sequence sorted by deadline. */
	GSequenceIter *by_deadline;
	struct caller *caller;
	struct admission_request request;
};

struct caller {
	/* Link in the round-robin list of callers with queued requests. */
	struct list link;
	char *name;
	struct list queue;
	unsigned waiting;
	int64_t deficit;
	/* The caller has been credited its quantum in this round. */
	bool on_turn;
};

struct admission {
	struct admission_options options;
	struct list round_robin;
	GHashTable *callers;
	GHashTable *by_owner;
	GSequence *deadlines;
	double service_us;
	bool service_known;
};

struct admission *admission_create(const struct admission_options *options)
{
	struct admission *admission = g_new0(struct admission, 1);

	admission->options = *options;
	list_init(&admission->round_robin);
	admission->callers = g_hash_table_new(g_str_hash, g_str_equal);
	admission->by_owner = g_hash_table_new(NULL, NULL);
	admission->deadlines = g_sequence_new(NULL);
	admission->service_us = SERVICE_FIRST_US;
	return admission;
}

static void caller_free(struct admission *admission, struct caller *caller)
{
	g_hash_table_remove(admission->callers, caller->name);
	list_remove(&caller->link);
	g_free(caller->name);
	g_free(caller);
}

static void *dequeue(struct admission *admission, struct waiting *waiting)
{
	struct caller *caller = waiting->caller;
	void *owner = waiting->request.owner;

	g_hash_table_remove(admission->by_owner, owner);
	g_sequence_remove(waiting->by_deadline);
	list_remove(&waiting->link);
	g_free(waiting);
	if (!--caller->waiting)
		caller_free(admission, caller);
	return owner;
}

void admission_destroy(struct admission *admission)
{
	while (g_sequence_get_length(admission->deadlines))
		dequeue(admission, g_sequence_get(g_sequence_get_begin_iter(
					   admission->deadlines)));
	g_sequence_free(admission->deadlines);
	g_hash_table_destroy(admission->by_owner);
	g_hash_table_destroy(admission->callers);
	g_free(admission);
}

unsigned admission_waiting(const struct admission *admission)
{
	return g_hash_table_size(admission->by_owner);
}

uint64_t admission_wait_us(const struct admission *admission, unsigned running,
			   unsigned limit)
{
	unsigned waiting = admission_waiting(admission);

	if (running < limit && !waiting)
		return 0;
	return (uint64_t)(admission->service_us * (waiting + 1) /
			  MAX(limit, 1));
}

static struct caller *caller_find(struct admission *admission, const char *name)
{
	struct caller *caller = g_hash_table_lookup(admission->callers, name);

	if (caller)
		return caller;
	caller = g_new0(struct caller, 1);
	caller->name = g_strdup(name);
	list_init(&caller->queue);
	list_append(&admission->round_robin, &caller->link);
	g_hash_table_insert(admission->callers, caller->name, caller);
	return caller;
}

/* Tells whether a caller already has its fair share of a queue that is at least
 * half full. */
static bool exceeds_share(const struct admission *admission, const char *name)
{
	const struct caller *caller =
		g_hash_table_lookup(admission->callers, name);
	unsigned max = admission->options.max_waiting;
	unsigned callers = g_hash_table_size(admission->callers);

	if (!caller || admission_waiting(admission) < max / UNLIMITED_DIVISOR)
		return false;
	return caller->waiting >= MAX(max / (callers + 1), 1);
}

static enum admission_status check_request(
	const struct admission *admission,
	const struct admission_request *request, uint64_t wait_us,
	uint64_t now_us)
{
	if (now_us >= request->deadline_us)
		return ADMISSION_DEADLINE;
	if (admission_waiting(admission) >= admission->options.max_waiting)
		return ADMISSION_OVERLOADED;
	if (now_us + wait_us >= request->deadline_us)
		return ADMISSION_OVERLOADED;
	if (exceeds_share(admission, request->caller))
		return ADMISSION_CALLER_LIMIT;
	return ADMISSION_QUEUED;
}

static gint compare_deadlines(gconstpointer a, gconstpointer b, gpointer ctx)
{
	const struct waiting *x = a, *y = b;

	(void)ctx;
	return x->request.deadline_us < y->request.deadline_us ? -1 :
	       x->request.deadline_us > y->request.deadline_us ? 1 :
								 0;
}

static void enqueue(struct admission *admission,
		    const struct admission_request *request)
{
	struct waiting *waiting = g_new0(struct waiting, 1);

	waiting->caller = caller_find(admission, request->caller);
	waiting->request = *request;
	waiting->request.caller = waiting->caller->name;
	waiting->caller->waiting++;
	list_append(&waiting->caller->queue, &waiting->link);
	waiting->by_deadline = g_sequence_insert_sorted(
		admission->deadlines, waiting, compare_deadlines, NULL);
	g_hash_table_insert(admission->by_owner, request->owner, waiting);
}

enum admission_status admission_enqueue(struct admission *admission,
					const struct admission_request *request,
					unsigned running, unsigned limit,
					uint64_t now_us,
					uint64_t *retry_after_us)
{
	uint64_t wait_us = admission_wait_us(admission, running, limit);
	enum admission_status status =
		check_request(admission, request, wait_us, now_us);

	*retry_after_us = MAX(wait_us, RETRY_MIN_US);
	if (status == ADMISSION_QUEUED)
		enqueue(admission, request);
	return status;
}

static void end_turn(struct admission *admission, struct caller *caller)
{
	caller->on_turn = false;
	list_remove(&caller->link);
	list_append(&admission->round_robin, &caller->link);
}

void *admission_next(struct admission *admission, uint64_t now_us)
{
	(void)now_us;
	while (!list_empty(&admission->round_robin)) {
		struct caller *caller =
			list_entry(list_first(&admission->round_robin),
				   struct caller, link);
		struct waiting *first = list_entry(list_first(&caller->queue),
						   struct waiting, link);

		if (!caller->on_turn)
			caller->deficit += admission->options.quantum;
		caller->on_turn = true;
		if (caller->deficit >= first->request.cost) {
			caller->deficit -= first->request.cost;
			return dequeue(admission, first);
		}
		end_turn(admission, caller);
	}
	return NULL;
}

void *admission_expired(struct admission *admission, uint64_t now_us)
{
	GSequenceIter *first = g_sequence_get_begin_iter(admission->deadlines);
	struct waiting *waiting;

	if (g_sequence_iter_is_end(first))
		return NULL;
	waiting = g_sequence_get(first);
	if (now_us < waiting->request.deadline_us)
		return NULL;
	return dequeue(admission, waiting);
}

bool admission_remove(struct admission *admission, const void *owner)
{
	struct waiting *waiting =
		g_hash_table_lookup(admission->by_owner, owner);

	if (!waiting)
		return false;
	dequeue(admission, waiting);
	return true;
}

void admission_record_service(struct admission *admission, uint64_t service_us)
{
	double weight = admission->service_known ? SERVICE_WEIGHT : 1;

	admission->service_known = true;
	admission->service_us +=
		weight * ((double)service_us - admission->service_us);
}
