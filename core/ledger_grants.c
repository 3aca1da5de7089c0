/*
 * Grants items to agents under leases, and hands over grants in a takeover.
 */
#include <string.h>

#include "core/ledger_state.h"

/* Layout of a grant id: job number, item, number of the grant of the item. */
#define GRANT_JOB_SHIFT 32
#define GRANT_ITEM_SHIFT 12
#define GRANT_ITEM_MASK 0xfffffu
#define GRANT_NUMBER_MASK 0xfffu
/*
 * After a takeover, this many items that follow the last item that is not
 * waiting are assumed to be in flight under the previous owner.
 */
#define IN_FLIGHT_WAITING_ITEMS 256u

uint64_t ledger_grant_id(const struct ledger_job *job, uint32_t item)
{
	return (uint64_t)job->number << GRANT_JOB_SHIFT |
	       (uint64_t)item << GRANT_ITEM_SHIFT |
	       (job->items[item].grant_number & GRANT_NUMBER_MASK);
}

struct ledger_job *ledger_grant_find_item(const struct ledger *ledger,
					  uint64_t id, uint32_t *item)
{
	struct ledger_job *job = g_hash_table_lookup(
		ledger->jobs_by_number,
		GUINT_TO_POINTER((guint)(id >> GRANT_JOB_SHIFT)));

	*item = (uint32_t)(id >> GRANT_ITEM_SHIFT) & GRANT_ITEM_MASK;
	return job && job->items && *item < job->items_nr ? job : NULL;
}

struct ledger_grant *ledger_grant_find(const struct ledger *ledger, uint64_t id)
{
	return g_hash_table_lookup(ledger->grants_by_id, &id);
}

/*
 * Finds a grant by id and epoch. Grant ids repeat in other epochs, so the epoch
 * must match as well.
 */
struct ledger_grant *ledger_grant_find_ref(const struct ledger *ledger,
					   const Briarplank__GrantRef *ref)
{
	struct ledger_grant *grant = ledger_grant_find(ledger, ref->grant_id);

	return grant && grant->epoch == ref->epoch ? grant : NULL;
}

bool ledger_intent_matches(const struct ledger_job *job, uint32_t item,
			   const Briarplank__GrantRef *ref)
{
	const struct ledger_intent *intent =
		g_hash_table_lookup(job->intents, GUINT_TO_POINTER(item));

	return intent && intent->grant_id == ref->grant_id &&
	       intent->epoch == ref->epoch;
}

bool ledger_grant_is_current(const struct ledger *ledger, uint64_t grant_id,
			     uint64_t epoch)
{
	const struct ledger_grant *grant = ledger_grant_find(ledger, grant_id);

	return grant && grant->epoch == epoch;
}

struct ledger_grant *ledger_grant_on_item(struct ledger *ledger,
					  const struct ledger_job *job,
					  uint32_t item)
{
	if (!(job->items[item].flags & ITEM_GRANTED))
		return NULL;
	return ledger_grant_find(ledger, ledger_grant_id(job, item));
}

static struct ledger_grant *grant_add(struct ledger_job *job, uint32_t item,
				      const char *agent, uint64_t now_ms)
{
	struct ledger *ledger = job->ledger;
	size_t len = strlen(agent) + 1;
	struct ledger_grant *grant = g_malloc0(sizeof(*grant) + len);

	memcpy(grant->agent, agent, len);
	grant->id = ledger_grant_id(job, item);
	grant->job = job;
	grant->item = item;
	grant->expires_ms = now_ms + ledger->options.lease_ms;
	grant->epoch = ledger->epoch;
	list_append(&ledger->grants, &grant->link);
	g_hash_table_insert(ledger->grants_by_id, &grant->id, grant);
	job->items[item].flags |= ITEM_GRANTED;
	job->granted++;
	return grant;
}

void ledger_grant_remove(struct ledger *ledger, struct ledger_grant *grant)
{
	grant->job->items[grant->item].flags &= ~ITEM_GRANTED;
	grant->job->granted--;
	g_hash_table_remove(ledger->grants_by_id, &grant->id);
	list_remove(&grant->link);
	g_free(grant);
}

void ledger_grant_revoke(struct ledger *ledger, struct ledger_grant *grant)
{
	struct ledger_revoked *revoked = g_new(struct ledger_revoked, 1);

	revoked->grant_id = grant->id;
	revoked->epoch = grant->epoch;
	revoked->agent = g_strdup(grant->agent);
	g_ptr_array_add(ledger->revoked, revoked);
	ledger_grant_remove(ledger, grant);
}

void ledger_item_requeue(struct ledger_job *job, uint32_t item)
{
	if (job->items[item].flags & ITEM_QUEUED)
		return;
	job->items[item].flags |= ITEM_QUEUED;
	g_queue_push_tail(&job->retry, GUINT_TO_POINTER(item));
}

static bool item_grantable(const struct ledger_item *item)
{
	return item->state == ITEM_WAITING &&
	       !(item->flags & (ITEM_GRANTED | ITEM_ENDING));
}

/*
 * Once adopt_ms have passed since the takeover, queues the items whose grants
 * no agent has renewed.
 */
static void requeue_held(struct ledger_job *job, uint64_t now_ms)
{
	uint32_t i;

	if (!job->adopt_until_ms || now_ms < job->adopt_until_ms)
		return;
	for (i = 0; i < job->in_flight_end; i++) {
		if (item_grantable(&job->items[i]))
			ledger_item_requeue(job, i);
	}
	job->adopt_until_ms = 0;
}

static void pop_retry(struct ledger_job *job)
{
	uint32_t item = GPOINTER_TO_UINT(g_queue_pop_head(&job->retry));

	job->items[item].flags &= ~ITEM_QUEUED;
}

/*
 * Finds an item to grant: one with the flag ITEM_SUSPECT if alone is set, else
 * one without it.
 */
static bool next_item(struct ledger_job *job, bool alone, uint64_t now_ms,
		      uint32_t *item)
{
	guint tries;

	requeue_held(job, now_ms);
	while (job->cursor < job->items_nr &&
	       (!item_grantable(&job->items[job->cursor]) ||
		job->items[job->cursor].flags & (ITEM_QUEUED | ITEM_SUSPECT))) {
		if (item_grantable(&job->items[job->cursor]))
			ledger_item_requeue(job, job->cursor);
		job->cursor++;
	}
	if (!alone && job->cursor < job->items_nr) {
		*item = job->cursor;
		return true;
	}
	tries = g_queue_get_length(&job->retry);
	while (tries--) {
		struct ledger_item *it;

		*item = GPOINTER_TO_UINT(g_queue_peek_head(&job->retry));
		it = &job->items[*item];
		if (!item_grantable(it)) {
			pop_retry(job);
			continue;
		}
		if (!(it->flags & ITEM_SUSPECT) == !alone)
			return true;
		g_queue_push_tail(&job->retry, g_queue_pop_head(&job->retry));
	}
	return false;
}

bool ledger_grantable(struct ledger_job *job, bool alone, uint64_t now_ms)
{
	uint32_t item;

	if (!job->items || job->cancelled_ms || job->cancel_queued ||
	    !job->counts[ITEM_WAITING])
		return false;
	if (job->ledger->outbox_bytes > job->ledger->options.outbox_max_bytes)
		return false;
	if (!next_item(job, alone, now_ms, &item))
		return false;
	return job->items[item].flags & ITEM_IDEMPOTENT ||
	       !job->ledger->intents_paused;
}

void ledger_pause_intents(struct ledger *ledger, bool pause)
{
	ledger->intents_paused = pause;
}

static uint64_t queue_intent(struct ledger_job *job, uint32_t item)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_INTENT);
	Briarplank__ItemIntent *intent = g_new(Briarplank__ItemIntent, 1);

	briarplank__item_intent__init(intent);
	intent->job_id = ledger_copy_bytes(job->id, HASH128_BYTES);
	intent->item = item;
	intent->grant_id = ledger_grant_id(job, item);
	record->intent = intent;
	ledger_queue_record(job->ledger, record);
	return job->ledger->queued;
}

bool ledger_grant(struct ledger_job *job, const char *agent, bool want_alone,
		  uint64_t now_ms, struct ledger_granted_item *out)
{
	struct ledger_grant *grant;
	struct ledger_item *it;
	uint32_t item;

	if (!ledger_grantable(job, want_alone, now_ms) ||
	    !next_item(job, want_alone, now_ms, &item))
		return false;
	it = &job->items[item];
	if (it->flags & ITEM_QUEUED)
		pop_retry(job);
	else
		job->cursor++;
	it->grant_number++;
	grant = grant_add(job, item, agent, now_ms);
	grant->alone = want_alone;
	memset(out, 0, sizeof(*out));
	out->grant_id = grant->id;
	out->job_id = job->id;
	out->item = item;
	out->attempt = it->attempts + 1u;
	out->body_offset = job->chunks[it->chunk].offset;
	out->body_index = item - job->chunks[it->chunk].first_item;
	out->path = job->path;
	out->idempotent = it->flags & ITEM_IDEMPOTENT;
	out->alone = want_alone;
	if (!out->idempotent)
		out->required_durable = queue_intent(job, item);
	return true;
}

/* Adopts a grant of a previous owner. Returns false if it is not valid. */
static bool adopt_grant(struct ledger *ledger, const Briarplank__GrantRef *ref,
			const char *agent, uint64_t now_ms)
{
	struct ledger_job *job;
	uint32_t item;

	job = ledger_grant_find_item(ledger, ref->grant_id, &item);
	if (!job || job->cancelled_ms)
		return false;
	/*
	 * A record that ends the item is queued. Returning true makes the agent
	 * keep the outcome until the record is durable.
	 */
	if (job->items[item].flags & ITEM_ENDING)
		return true;
	if (job->items[item].flags & ITEM_GRANTED)
		return false;
	if (job->items[item].state == ITEM_INTENT) {
		if (!ledger_intent_matches(job, item, ref))
			return false;
	} else if (!item_grantable(&job->items[item]) ||
		   !(job->items[item].flags & ITEM_IDEMPOTENT) ||
		   ref->epoch >= ledger->epoch) {
		return false;
	}
	job->items[item].grant_number = ref->grant_id & GRANT_NUMBER_MASK;
	grant_add(job, item, agent, now_ms)->epoch = ref->epoch;
	return true;
}

bool ledger_renew(struct ledger *ledger, const Briarplank__GrantRef *ref,
		  const char *agent, uint64_t now_ms)
{
	struct ledger_grant *grant = ledger_grant_find_ref(ledger, ref);

	if (!ledger_owned(ledger))
		return false;
	if (grant && !*grant->agent) {
		ledger_grant_remove(ledger, grant);
		grant = NULL;
	}
	if (!grant)
		return adopt_grant(ledger, ref, agent, now_ms);
	if (strcmp(grant->agent, agent))
		return false;
	grant->in_grace_period = false;
	grant->expires_ms = now_ms + ledger->options.lease_ms;
	list_remove(&grant->link);
	list_append(&ledger->grants, &grant->link);
	return true;
}

uint32_t ledger_agent_grants(const struct ledger *ledger, const char *agent,
			     bool *alone)
{
	uint32_t nr = 0;
	struct list *pos;

	list_for_each (pos, &ledger->grants) {
		const struct ledger_grant *grant =
			list_entry(pos, struct ledger_grant, link);

		if (strcmp(grant->agent, agent))
			continue;
		*alone = *alone || grant->alone;
		nr++;
	}
	return nr;
}

const char *ledger_grant_service(const struct ledger *ledger, uint64_t grant_id)
{
	struct ledger_job *job;
	uint32_t item;

	job = ledger_grant_find_item(ledger, grant_id, &item);
	return job ? job->service : NULL;
}

/*
 * Adds a grant without an agent for each item with an intent, so that the item
 * ends if the lease expires before an agent renews it.
 */
static void add_intent_grants(struct ledger_job *job, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, job->intents);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		uint32_t item = GPOINTER_TO_UINT(key);
		const uint64_t *id = value;

		job->items[item].grant_number = *id & GRANT_NUMBER_MASK;
		grant_add(job, item, "", now_ms);
	}
}

static uint32_t job_in_flight_end(const struct ledger_job *job)
{
	uint32_t last = job->items_nr;

	while (last > 0 && job->items[last - 1].state == ITEM_WAITING)
		last--;
	return MIN(last + IN_FLIGHT_WAITING_ITEMS, job->items_nr);
}

void ledger_take_over(struct ledger *ledger, uint64_t now_ms)
{
	struct list *pos;

	list_for_each (pos, &ledger->open_jobs) {
		struct ledger_job *job =
			list_entry(pos, struct ledger_job, open_link);

		job->in_flight_end = job_in_flight_end(job);
		job->cursor = job->in_flight_end;
		job->adopt_until_ms = now_ms + ledger->options.adopt_ms;
		g_queue_clear(&job->retry);
		add_intent_grants(job, now_ms);
	}
}
