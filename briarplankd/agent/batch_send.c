/*
 * Messages of the batch task to the owners of ledger shards: pulls, lease
 * renewals and outcomes.
 */
#include <string.h>

#include <glib.h>

#include "batch.h"
#include "briarplankd/members_task.h"

/* Time to wait for the reply to a pull, in ms. */
#define PULL_TIMEOUT_MS 2000
/*
 * Size of unacknowledged results at which the agent stops pulling items, in
 * bytes.
 */
#define RESULTS_MAX_BYTES (16 << 20)
#define PULL_MAX_BYTES (1 << 20)
/* Maximum delay before an outcome is sent again, in ms. */
#define RESEND_MAX_MS 15000
/* Maximum number and total size of the outcomes in one message. */
#define COMPLETIONS_MAX 256
#define COMPLETIONS_MAX_BYTES (2 << 20)
/* A lease is renewed after 1/RENEW_DIVISOR of its duration. */
#define RENEW_DIVISOR 3

struct owner *batch_get_owner(struct batch *batch, const char *name)
{
	struct owner *owner;
	struct list *pos;

	list_for_each (pos, &batch->owners) {
		owner = list_entry(pos, struct owner, link);
		if (!strcmp(owner->name, name))
			return owner;
	}
	owner = g_new0(struct owner, 1);
	owner->name = g_strdup(name);
	list_append(&batch->owners, &owner->link);
	return owner;
}

void batch_owner_free(struct owner *owner)
{
	list_remove(&owner->link);
	g_free(owner->name);
	g_free(owner);
}

/* Frees the owners that own no shard and no item. */
static void drop_unused_owners(struct batch *batch)
{
	struct list *pos, *tmp, *item_pos;

	list_for_each_safe (pos, tmp, &batch->owners) {
		struct owner *owner = list_entry(pos, struct owner, link);
		bool needed = owner->owns_shards;

		list_for_each (item_pos, &batch->items) {
			const struct item *item =
				list_entry(item_pos, struct item, link);

			needed = needed || !strcmp(item->owner, owner->name);
		}
		if (!needed)
			batch_owner_free(owner);
	}
}

void batch_update_owners(struct batch *batch)
{
	struct node *node = batch->task.node;
	uint64_t digest = node_shard_digest(node);
	struct list *pos;
	uint32_t shard;

	if (digest == batch->owners_digest)
		return;
	batch->owners_digest = digest;
	list_for_each (pos, &batch->owners)
		list_entry(pos, struct owner, link)->owns_shards = false;
	for (shard = 0; shard < node->settings->ledger_shards; shard++) {
		const char *name = node_shard_owner(node, shard);

		if (name)
			batch_get_owner(batch, name)->owns_shards = true;
	}
	drop_unused_owners(batch);
}

/*
 * Returns the next owner, in round-robin order, that may be pulled from now;
 * NULL if there is none.
 */
static struct owner *next_owner(struct batch *batch)
{
	uint64_t now = batch_now_ms(batch);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->owners) {
		struct owner *owner = list_entry(pos, struct owner, link);

		if (now < owner->pull_after_ms || !owner->owns_shards)
			continue;
		list_remove(pos);
		list_append(&batch->owners, pos);
		return owner;
	}
	return NULL;
}

void batch_pull(struct batch *batch)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Pull body = BRIARPLANK__PULL__INIT;
	unsigned room = gate_batch_capacity(batch->gate);
	struct owner *owner;

	if (batch->stopping || !room ||
	    batch_now_ms(batch) < batch->pull_deadline_ms ||
	    batch->result_bytes >= RESULTS_MAX_BYTES)
		return;
	owner = next_owner(batch);
	if (!owner)
		return;
	body.service = batch->task.node->settings->service;
	body.max_items = room;
	body.max_bytes = PULL_MAX_BYTES;
	body.pull_id = ++batch->pull_id;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PULL;
	env.pull = &body;
	owner->pull_after_ms = batch_now_ms(batch) + PULL_RETRY_MS;
	if (bus_send(batch->task.node->bus, owner->name, &env) == BUS_OK)
		batch->pull_deadline_ms = batch_now_ms(batch) + PULL_TIMEOUT_MS;
}

/* Sends one renewal message for all grants of an owner. */
static void send_renewal(struct batch *batch, struct owner *owner)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Renew body = BRIARPLANK__RENEW__INIT;
	GPtrArray *refs = g_ptr_array_new_with_free_func(g_free);
	uint32_t lease_ms = UINT32_MAX;
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);
		Briarplank__GrantRef *ref;

		if (strcmp(item->owner, owner->name) != 0)
			continue;
		ref = g_new(Briarplank__GrantRef, 1);
		briarplank__grant_ref__init(ref);
		ref->shard = item->grant->shard;
		ref->epoch = item->grant->epoch;
		ref->grant_id = item->grant->grant_id;
		g_ptr_array_add(refs, ref);
		lease_ms = MIN(lease_ms, item->grant->lease_ms);
	}
	if (refs->len) {
		body.grants = (Briarplank__GrantRef **)refs->pdata;
		body.n_grants = refs->len;
		env.body_case = BRIARPLANK__ENVELOPE__BODY_RENEW;
		env.renew = &body;
		if (!owner->renew_sent_us)
			owner->renew_sent_us = node_now_us();
		bus_send(batch->task.node->bus, owner->name, &env);
		owner->renew_after_ms =
			batch_now_ms(batch) + lease_ms / RENEW_DIVISOR;
	}
	g_ptr_array_free(refs, TRUE);
}

void batch_renew_leases(struct batch *batch)
{
	uint64_t now = batch_now_ms(batch);
	struct list *pos;

	if (list_empty(&batch->items))
		return;
	list_for_each (pos, &batch->owners) {
		struct owner *owner = list_entry(pos, struct owner, link);

		if (now >= owner->renew_after_ms)
			send_renewal(batch, owner);
	}
}

/*
 * Returns the entry to which the outcome is sent: the owner of the shard, or
 * the item's last known owner if the shard's owner is not known.
 */
static const char *item_receiver(const struct item *item)
{
	const char *owner =
		node_shard_owner(item->batch->task.node, item->grant->shard);

	return owner ? owner : item->owner;
}

static bool item_due(const struct item *item, const char *receiver,
		     uint64_t now)
{
	if (!item->outcome || strcmp(item_receiver(item), receiver) != 0)
		return false;
	return now >= item->send_after_ms || !item->sent_to ||
	       strcmp(item->sent_to, receiver) != 0;
}

static void schedule_resend(struct item *item, const char *receiver,
			    uint64_t now)
{
	item->send_after_ms = now + item->resend_delay_ms;
	item->resend_delay_ms = MIN(2 * item->resend_delay_ms, RESEND_MAX_MS);
	g_free(item->sent_to);
	item->sent_to = g_strdup(receiver);
}

static void send_completions(struct batch *batch, const char *receiver)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Completions body = BRIARPLANK__COMPLETIONS__INIT;
	Briarplank__ItemOutcome *outcomes[COMPLETIONS_MAX];
	uint64_t now = batch_now_ms(batch);
	size_t bytes = 0;
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);

		if (body.n_outcomes == COMPLETIONS_MAX ||
		    bytes >= COMPLETIONS_MAX_BYTES)
			break;
		if (!item_due(item, receiver, now))
			continue;
		outcomes[body.n_outcomes++] = item->outcome;
		bytes += item->outcome->body.len;
		schedule_resend(item, receiver, now);
	}
	if (!body.n_outcomes)
		return;
	body.outcomes = outcomes;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_COMPLETIONS;
	env.completions = &body;
	bus_send(batch->task.node->bus, receiver, &env);
}

void batch_send_outcomes(struct batch *batch)
{
	struct list *pos;

	list_for_each (pos, &batch->owners) {
		struct owner *owner = list_entry(pos, struct owner, link);

		send_completions(batch, owner->name);
	}
}
