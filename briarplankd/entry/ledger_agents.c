/*
 * Handles agents' messages about their grants: lease renewals and outcomes.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "briarplankd/entry/ledger_task.h"

/* Attempts per item for a service that sets no item_attempts. */
#define ATTEMPTS_DEFAULT 3

uint32_t ledger_attempts_max(struct ledger_task *task, const char *service)
{
	struct service_policy policy = { 0 };

	if (service)
		config_service_policy(task->super.node, service, &policy);
	return policy.item_attempts ? policy.item_attempts : ATTEMPTS_DEFAULT;
}

static void send_to(struct ledger_task *task, const char *peer,
		    Briarplank__Envelope *env)
{
	bus_send(task->super.node->bus, peer, env);
}

static void on_renew(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__Renew *renew = env->renew;
	Briarplank__Envelope reply = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__RenewResult result = BRIARPLANK__RENEW_RESULT__INIT;
	uint64_t now = node_now_ms(task->super.node);
	size_t i;

	result.revoked = g_new(Briarplank__GrantRef *, renew->n_grants + 1);
	result.not_owned = g_new(Briarplank__GrantRef *, renew->n_grants + 1);
	result.lease_ms = LEDGER_LEASE_MS;
	for (i = 0; i < renew->n_grants; i++) {
		Briarplank__GrantRef *ref = renew->grants[i];
		struct ledger *ledger = ledger_task_owned(task, ref->shard);

		if (!ledger)
			result.not_owned[result.n_not_owned++] = ref;
		else if (!ledger_renew(ledger, ref, env->sender, now))
			result.revoked[result.n_revoked++] = ref;
	}
	reply.body_case = BRIARPLANK__ENVELOPE__BODY_RENEW_RESULT;
	reply.renew_result = &result;
	send_to(task, env->sender, &reply);
	g_free(result.revoked);
	g_free(result.not_owned);
}

/*
 * Outcomes of items of one shard, from one message of an agent, whose records
 * are not durable yet.
 */
struct ack {
	struct ledger_task *task;
	char *agent;
	GArray *refs;
};

static void send_ack(struct ledger_task *task, const char *agent,
		     GArray *durable, GArray *voided)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__CompletionsAck ack = BRIARPLANK__COMPLETIONS_ACK__INIT;
	guint i;

	if (!durable->len && !voided->len)
		return;
	ack.durable = g_new(Briarplank__GrantRef *, durable->len + 1);
	ack.void_grants = g_new(Briarplank__GrantRef *, voided->len + 1);
	for (i = 0; i < durable->len; i++)
		ack.durable[ack.n_durable++] =
			&g_array_index(durable, Briarplank__GrantRef, i);
	for (i = 0; i < voided->len; i++)
		ack.void_grants[ack.n_void_grants++] =
			&g_array_index(voided, Briarplank__GrantRef, i);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_COMPLETIONS_ACK;
	env.completions_ack = &ack;
	send_to(task, agent, &env);
	g_free(ack.durable);
	g_free(ack.void_grants);
}

static void on_outcomes_durable(void *ctx, bool durable)
{
	struct ack *ack = ctx;
	GArray *none = g_array_new(FALSE, FALSE, sizeof(Briarplank__GrantRef));

	/*
	 * If the records are not durable, no ack is sent, and the agent resends
	 * the outcomes to the shard's next owner.
	 */
	if (durable)
		send_ack(ack->task, ack->agent, ack->refs, none);
	g_array_free(none, TRUE);
	g_array_free(ack->refs, TRUE);
	g_free(ack->agent);
	g_free(ack);
}

static GArray *create_refs(void)
{
	return g_array_new(FALSE, FALSE, sizeof(Briarplank__GrantRef));
}

/* Acknowledges the queued outcomes of one shard once they are durable. */
static void ack_shard_when_durable(struct ledger_task *task, const char *agent,
				   uint32_t shard, const GArray *queued)
{
	struct ack *ack = g_new0(struct ack, 1);
	guint i;

	ack->task = task;
	ack->agent = g_strdup(agent);
	ack->refs = create_refs();
	for (i = 0; i < queued->len; i++) {
		Briarplank__GrantRef ref =
			g_array_index(queued, Briarplank__GrantRef, i);

		if (ref.shard == shard)
			g_array_append_val(ack->refs, ref);
	}
	ledger_task_wait_durable(
		task, shard, ledger_queued(shard_ledger(task->shards[shard])),
		on_outcomes_durable, ack);
	shard_schedule_append(task->shards[shard]);
}

/* Acknowledges queued outcomes shard by shard, as they become durable. */
static void ack_when_durable(struct ledger_task *task, const char *agent,
			     const GArray *queued)
{
	guint i, j;

	for (i = 0; i < queued->len; i++) {
		uint32_t shard =
			g_array_index(queued, Briarplank__GrantRef, i).shard;

		for (j = 0; j < i; j++) {
			if (g_array_index(queued, Briarplank__GrantRef, j)
				    .shard == shard)
				break;
		}
		if (j == i)
			ack_shard_when_durable(task, agent, shard, queued);
	}
}

static enum ledger_status take_outcome(struct ledger_task *task,
				       const Briarplank__ItemOutcome *outcome)
{
	struct ledger *ledger;
	const char *service;

	ledger = ledger_task_owned(task, outcome->grant->shard);
	if (!ledger)
		return LEDGER_NOT_OWNER;
	service = ledger_grant_service(ledger, outcome->grant->grant_id);
	return ledger_complete(ledger, outcome,
			       ledger_attempts_max(task, service),
			       node_wall_ms());
}

static void on_completions(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__Completions *completions = env->completions;
	GArray *durable = create_refs();
	GArray *queued = create_refs();
	GArray *voided = create_refs();
	size_t i;

	for (i = 0; i < completions->n_outcomes; i++) {
		const Briarplank__ItemOutcome *outcome =
			completions->outcomes[i];
		enum ledger_status status;

		if (!outcome->grant)
			continue;
		status = take_outcome(task, outcome);
		if (status == LEDGER_OK)
			g_array_append_val(durable, *outcome->grant);
		else if (status == LEDGER_QUEUED)
			g_array_append_val(queued, *outcome->grant);
		else if (status == LEDGER_VOID_GRANT)
			g_array_append_val(voided, *outcome->grant);
	}
	counter_add(task->ended, durable->len + queued->len);
	counter_add(task->void_outcomes, voided->len);
	send_ack(task, env->sender, durable, voided);
	ack_when_durable(task, env->sender, queued);
	g_array_free(durable, TRUE);
	g_array_free(queued, TRUE);
	g_array_free(voided, TRUE);
}

static void send_revoked(struct ledger_task *task, uint32_t shard,
			 const struct ledger_revoked *revoked)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__RenewResult result = BRIARPLANK__RENEW_RESULT__INIT;
	Briarplank__GrantRef ref = BRIARPLANK__GRANT_REF__INIT;
	Briarplank__GrantRef *refs[] = { &ref };

	ref.shard = shard;
	ref.epoch = revoked->epoch;
	ref.grant_id = revoked->grant_id;
	result.revoked = refs;
	result.n_revoked = 1;
	result.lease_ms = LEDGER_LEASE_MS;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_RENEW_RESULT;
	env.renew_result = &result;
	if (*revoked->agent)
		send_to(task, revoked->agent, &env);
}

void ledger_agents_send_revoked(struct ledger_task *task, uint32_t shard)
{
	struct ledger *ledger = ledger_task_owned(task, shard);
	GPtrArray *revoked;
	guint i;

	if (!ledger)
		return;
	revoked = ledger_take_revoked(ledger);
	for (i = 0; i < revoked->len; i++)
		send_revoked(task, shard, revoked->pdata[i]);
	g_ptr_array_free(revoked, TRUE);
}

void ledger_agents_start(struct ledger_task *task)
{
	struct bus *bus = task->super.node->bus;

	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_RENEW, on_renew, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_COMPLETIONS,
			on_completions, task);
}
