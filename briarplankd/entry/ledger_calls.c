/*
 * Handles requests of entries to a shard owner: seals (records that complete a
 * submission), parts of jobs, cancellations, queries and claims of idempotency
 * keys.
 */
#include <string.h>

#include "briarplankd/entry/ledger_results.h"
#include "briarplankd/entry/ledger_task.h"
#include "briarplankd/members_task.h"
#include "common/error.h"
#include "common/hash.h"

/*
 * Timeout for reading the chunks that a submitted job or part refers to, in ms.
 */
#define CHUNKS_TIMEOUT_MS 3000
/* Retry-After for callers while the log does not answer, in ms. */
#define LOG_RETRY_AFTER_MS 2000
/* Retry-After for callers while too many records are queued, in ms. */
#define OVERLOADED_RETRY_AFTER_MS 1000

/* A request whose reply waits for the log. */
struct call {
	struct list link;
	struct ledger_task *task;
	char *peer;
	uint64_t call_id;
	uint32_t shard;
	uint8_t job_id[HASH128_BYTES];
	/*
	 * Time at which the call fails if the chunks of its job or part have
	 * not been read.
	 */
	uint64_t deadline_ms;
	/* Copy of the request message, or NULL if it isn't needed later. */
	Briarplank__Envelope *env;
};

static const Briarplank__JobReply__Code reply_codes[] = {
	[LEDGER_OK] = BRIARPLANK__JOB_REPLY__CODE__OK,
	[LEDGER_QUEUED] = BRIARPLANK__JOB_REPLY__CODE__OK,
	[LEDGER_CONFLICT] = BRIARPLANK__JOB_REPLY__CODE__CONFLICT,
	[LEDGER_UNKNOWN_JOB] = BRIARPLANK__JOB_REPLY__CODE__UNKNOWN_JOB,
	[LEDGER_EXPIRED] = BRIARPLANK__JOB_REPLY__CODE__EXPIRED,
	[LEDGER_NOT_OWNER] = BRIARPLANK__JOB_REPLY__CODE__NOT_OWNER,
	[LEDGER_BAD_SUBMISSION] = BRIARPLANK__JOB_REPLY__CODE__BAD_SUBMISSION,
	[LEDGER_OVERLOADED] = BRIARPLANK__JOB_REPLY__CODE__OVERLOADED,
	[LEDGER_BAD_LINE] = BRIARPLANK__JOB_REPLY__CODE__BAD_LINE,
};

static void send_reply(struct ledger_task *task, const char *peer,
		       Briarplank__JobReply *reply)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;

	env.body_case = BRIARPLANK__ENVELOPE__BODY_JOB_REPLY;
	env.job_reply = reply;
	bus_send(task->super.node->bus, peer, &env);
}

static ProtobufCBinaryData job_id_field(const uint8_t *id)
{
	ProtobufCBinaryData field = { .len = HASH128_BYTES,
				      .data = (uint8_t *)id };

	return field;
}

/*
 * Replies to a call with a code, and with the job's state unless job is NULL.
 */
static void reply_job(struct ledger_task *task, const char *peer,
		      uint64_t call_id, Briarplank__JobReply__Code code,
		      const struct ledger_job *job)
{
	Briarplank__JobReply reply = BRIARPLANK__JOB_REPLY__INIT;
	Briarplank__JobState state = BRIARPLANK__JOB_STATE__INIT;
	Briarplank__JobState *states[] = { &state };

	reply.call_id = call_id;
	reply.code = code;
	if (job) {
		ledger_job_state(job, node_wall_ms(), &state);
		reply.jobs = states;
		reply.n_jobs = 1;
	}
	send_reply(task, peer, &reply);
}

static void reply_status(struct ledger_task *task, const char *peer,
			 uint64_t call_id, uint32_t shard,
			 enum ledger_status status)
{
	Briarplank__JobReply reply = BRIARPLANK__JOB_REPLY__INIT;
	const char *owner = NULL;

	reply.call_id = call_id;
	reply.code = reply_codes[status];
	if (status == LEDGER_NOT_OWNER)
		owner = node_shard_owner(task->super.node, shard);
	if (status == LEDGER_OVERLOADED)
		reply.retry_after_ms = OVERLOADED_RETRY_AFTER_MS;
	if (status == LEDGER_CONFLICT || status == LEDGER_BAD_LINE)
		reply.message = (char *)error_last();
	reply.owner = (char *)(owner ? owner : "");
	send_reply(task, peer, &reply);
}

static void reply_log_unavailable(struct ledger_task *task, const char *peer,
				  uint64_t call_id)
{
	Briarplank__JobReply reply = BRIARPLANK__JOB_REPLY__INIT;

	reply.call_id = call_id;
	reply.code = BRIARPLANK__JOB_REPLY__CODE__LOG_UNAVAILABLE;
	reply.retry_after_ms = LOG_RETRY_AFTER_MS;
	send_reply(task, peer, &reply);
}

static struct call *call_create(struct ledger_task *task,
				const Briarplank__Envelope *env,
				uint64_t call_id, uint32_t shard,
				ProtobufCBinaryData id)
{
	struct call *call = g_new0(struct call, 1);

	call->task = task;
	call->peer = g_strdup(env->sender);
	call->call_id = call_id;
	call->shard = shard;
	memcpy(call->job_id, id.data, MIN(id.len, HASH128_BYTES));
	list_init(&call->link);
	task->pending_calls++;
	return call;
}

static void call_free(struct call *call)
{
	list_remove(&call->link);
	call->task->pending_calls--;
	if (call->env)
		briarplank__envelope__free_unpacked(call->env, NULL);
	g_free(call->peer);
	g_free(call);
}

/* Copies a message that is valid only in its handler. */
static Briarplank__Envelope *copy_envelope(const Briarplank__Envelope *env)
{
	size_t len = briarplank__envelope__get_packed_size(env);
	uint8_t *bytes = g_malloc(len + 1);
	Briarplank__Envelope *copy;

	briarplank__envelope__pack(env, bytes);
	copy = briarplank__envelope__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

static void on_seal_durable(void *ctx, bool durable)
{
	struct call *call = ctx;
	const Briarplank__SealJob *seal = call->env->seal_job;
	struct ledger *ledger = ledger_task_owned(call->task, call->shard);
	struct ledger_job *job = NULL;

	if (ledger && durable)
		job = ledger_find(ledger, job_id_field(call->job_id));
	if (!job)
		reply_status(call->task, call->peer, call->call_id, call->shard,
			     LEDGER_NOT_OWNER);
	else if (!ledger_seal_matches(job, seal))
		reply_job(call->task, call->peer, call->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__CONFLICT, job);
	else
		reply_job(call->task, call->peer, call->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__CREATED, job);
	call_free(call);
}

static bool chunks_read(const struct ledger *ledger, const uint64_t *offsets,
			size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (offsets[i] > ledger_position(ledger))
			return false;
	}
	return true;
}

/* Tells whether the stream was read past the chunks that a call refers to. */
static bool call_chunks_read(const struct call *call,
			     const struct ledger *ledger)
{
	const Briarplank__Envelope *env = call->env;

	if (env->body_case == BRIARPLANK__ENVELOPE__BODY_STORE_PART)
		return chunks_read(ledger, env->store_part->chunk_offsets,
				   env->store_part->n_chunk_offsets);
	return chunks_read(ledger, env->seal_job->chunk_offsets,
			   env->seal_job->n_chunk_offsets);
}

static void answer_seal(struct call *call, struct ledger *ledger)
{
	const Briarplank__SealJob *seal = call->env->seal_job;
	enum ledger_status status;

	status = ledger_seal(ledger, seal, node_wall_ms());
	if (status == LEDGER_QUEUED) {
		ledger_task_wait_durable(call->task, call->shard,
					 ledger_queued(ledger), on_seal_durable,
					 call);
		shard_schedule_append(call->task->shards[call->shard]);
		return;
	}
	if (status == LEDGER_OK)
		reply_job(call->task, call->peer, call->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__OK,
			  ledger_find(ledger, seal->job_id));
	else
		reply_status(call->task, call->peer, call->call_id, call->shard,
			     status);
	call_free(call);
}

static void answer_part(struct call *call, struct ledger *ledger);

/*
 * Answers from the state after all records were applied, as another request may
 * have stored a different part under this number first.
 */
static void on_part_durable(void *ctx, bool durable)
{
	struct call *call = ctx;
	struct ledger *ledger = ledger_task_owned(call->task, call->shard);

	if (ledger && durable) {
		answer_part(call, ledger);
		return;
	}
	reply_status(call->task, call->peer, call->call_id, call->shard,
		     LEDGER_NOT_OWNER);
	call_free(call);
}

static void answer_part(struct call *call, struct ledger *ledger)
{
	enum ledger_status status;

	status = ledger_store_part(ledger, call->env->store_part,
				   node_wall_ms());
	if (status == LEDGER_QUEUED) {
		ledger_task_wait_durable(call->task, call->shard,
					 ledger_queued(ledger), on_part_durable,
					 call);
		shard_schedule_append(call->task->shards[call->shard]);
		return;
	}
	reply_status(call->task, call->peer, call->call_id, call->shard,
		     status);
	call_free(call);
}

static void answer_call(struct call *call, struct ledger *ledger)
{
	if (call->env->body_case == BRIARPLANK__ENVELOPE__BODY_STORE_PART)
		answer_part(call, ledger);
	else
		answer_seal(call, ledger);
}

/*
 * Handles a request to complete a job or store a part if its chunks were read,
 * or fails it if its shard is lost or its deadline has passed. Returns false if
 * it still waits.
 */
static bool try_call(struct call *call)
{
	struct ledger_task *task = call->task;
	struct ledger *ledger = ledger_task_owned(task, call->shard);

	if (!ledger) {
		reply_status(task, call->peer, call->call_id, call->shard,
			     LEDGER_NOT_OWNER);
		call_free(call);
		return true;
	}
	if (call_chunks_read(call, ledger)) {
		list_remove(&call->link);
		answer_call(call, ledger);
		return true;
	}
	if (node_now_ms(task->super.node) < call->deadline_ms)
		return false;
	reply_log_unavailable(task, call->peer, call->call_id);
	call_free(call);
	return true;
}

void ledger_calls_retry(struct ledger_task *task)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->chunk_waiters)
		try_call(list_entry(pos, struct call, link));
}

static void wait_for_chunks(struct ledger_task *task, struct call *call,
			    const Briarplank__Envelope *env)
{
	uint32_t shard = call->shard;

	call->env = copy_envelope(env);
	call->deadline_ms = node_now_ms(task->super.node) + CHUNKS_TIMEOUT_MS;
	list_append(&task->chunk_waiters, &call->link);
	if (!try_call(call))
		shard_catch_up(task->shards[shard]);
}

static void on_seal(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__SealJob *seal = env->seal_job;

	wait_for_chunks(task,
			call_create(task, env, seal->call_id, seal->shard,
				    seal->job_id),
			env);
}

static void on_store_part(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__StorePart *store = env->store_part;

	wait_for_chunks(task,
			call_create(task, env, store->call_id, store->shard,
				    store->job_id),
			env);
}

static void on_cancel_durable(void *ctx, bool durable)
{
	struct call *call = ctx;
	struct ledger *ledger = ledger_task_owned(call->task, call->shard);

	if (!durable || !ledger)
		reply_status(call->task, call->peer, call->call_id, call->shard,
			     LEDGER_NOT_OWNER);
	else
		reply_job(call->task, call->peer, call->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__OK,
			  ledger_find(ledger, job_id_field(call->job_id)));
	call_free(call);
}

static void on_cancel(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__CancelJob *cancel = env->cancel_job;
	struct ledger *ledger = ledger_task_owned(task, cancel->shard);
	enum ledger_status status = LEDGER_NOT_OWNER;

	if (ledger && shard_log_unavailable(task->shards[cancel->shard])) {
		reply_log_unavailable(task, env->sender, cancel->call_id);
		return;
	}
	if (ledger)
		status = ledger_cancel(ledger, cancel->job_id, node_wall_ms());
	if (status == LEDGER_OK) {
		reply_job(task, env->sender, cancel->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__OK,
			  ledger_find(ledger, cancel->job_id));
	} else if (status == LEDGER_QUEUED) {
		ledger_task_wait_durable(
			task, cancel->shard, ledger_queued(ledger),
			on_cancel_durable,
			call_create(task, env, cancel->call_id, cancel->shard,
				    cancel->job_id));
		shard_schedule_append(task->shards[cancel->shard]);
	} else {
		reply_status(task, env->sender, cancel->call_id, cancel->shard,
			     status);
	}
}

static enum ledger_status find_job(struct ledger_task *task, uint32_t shard,
				   ProtobufCBinaryData id,
				   struct ledger_job **job)
{
	struct ledger *ledger = ledger_task_owned(task, shard);

	if (!ledger || shard_unverified(task->shards[shard]))
		return LEDGER_NOT_OWNER;
	*job = ledger_find(ledger, id);
	return *job ? ledger_job_status(*job, node_wall_ms()) :
		      LEDGER_UNKNOWN_JOB;
}

static void on_query(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__QueryJob *query = env->query_job;
	struct ledger_job *job = NULL;
	enum ledger_status status;

	status = find_job(task, query->shard, query->job_id, &job);
	if (status == LEDGER_OK)
		reply_job(task, env->sender, query->call_id,
			  BRIARPLANK__JOB_REPLY__CODE__OK, job);
	else
		reply_status(task, env->sender, query->call_id, query->shard,
			     status);
}

static void on_results(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__QueryResults *query = env->query_results;
	struct ledger_job *job = NULL;
	enum ledger_status status;

	status = find_job(task, query->shard, query->job_id, &job);
	if (status == LEDGER_OK)
		ledger_results_read(task, env, job);
	else
		reply_status(task, env->sender, query->call_id, query->shard,
			     status);
}

/* Job states that are collected for the reply to a query. */
struct listing {
	GPtrArray *states;
	uint64_t wall_ms;
};

static void add_job_state(void *ctx, struct ledger_job *job)
{
	struct listing *listing = ctx;
	Briarplank__JobState *state = g_new(Briarplank__JobState, 1);

	ledger_job_state(job, listing->wall_ms, state);
	g_ptr_array_add(listing->states, state);
}

static void on_list(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	Briarplank__JobReply reply = BRIARPLANK__JOB_REPLY__INIT;
	struct listing listing = {
		.states = g_ptr_array_new_with_free_func(g_free),
		.wall_ms = node_wall_ms(),
	};
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++) {
		struct ledger *ledger = ledger_task_owned(task, i);

		if (ledger)
			ledger_each_job(ledger, add_job_state, &listing);
	}
	reply.call_id = env->list_jobs->call_id;
	reply.jobs = (Briarplank__JobState **)listing.states->pdata;
	reply.n_jobs = listing.states->len;
	send_reply(task, env->sender, &reply);
	g_ptr_array_free(listing.states, TRUE);
}

static void reply_claim(struct ledger_task *task, const char *peer,
			const Briarplank__ClaimKey *claim,
			Briarplank__ClaimKeyReply__Code code,
			const char *winner)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__ClaimKeyReply reply = BRIARPLANK__CLAIM_KEY_REPLY__INIT;

	reply.call_id = claim->call_id;
	reply.code = code;
	reply.winner_request_id = (char *)winner;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CLAIM_KEY_REPLY;
	env.claim_key_reply = &reply;
	bus_send(task->super.node->bus, peer, &env);
}

static void reply_claim_result(struct ledger_task *task, const char *peer,
			       const struct ledger *ledger,
			       const Briarplank__ClaimKey *claim)
{
	Briarplank__ClaimKeyReply__Code code;
	const char *winner;

	code = ledger_claim_key_result(ledger, claim, &winner);
	reply_claim(task, peer, claim, code, winner);
}

static void on_key_durable(void *ctx, bool durable)
{
	struct call *call = ctx;
	const Briarplank__ClaimKey *claim = call->env->claim_key;
	struct ledger *ledger = ledger_task_owned(call->task, call->shard);

	if (durable && ledger)
		reply_claim_result(call->task, call->peer, ledger, claim);
	else
		reply_claim(call->task, call->peer, claim,
			    BRIARPLANK__CLAIM_KEY_REPLY__CODE__LOG_UNAVAILABLE,
			    "");
	call_free(call);
}

static void wait_for_key(struct ledger_task *task, struct ledger *ledger,
			 const Briarplank__Envelope *env)
{
	const Briarplank__ClaimKey *claim = env->claim_key;
	struct call *call = call_create(task, env, claim->call_id, claim->shard,
					claim->key_hash);

	call->env = copy_envelope(env);
	ledger_task_wait_durable(task, claim->shard, ledger_queued(ledger),
				 on_key_durable, call);
	shard_schedule_append(task->shards[claim->shard]);
}

static void on_claim_key(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__ClaimKey *claim = env->claim_key;
	struct ledger *ledger = ledger_task_owned(task, claim->shard);

	if (!ledger) {
		reply_claim(task, env->sender, claim,
			    BRIARPLANK__CLAIM_KEY_REPLY__CODE__NOT_OWNER, "");
		return;
	}
	if (shard_log_unavailable(task->shards[claim->shard])) {
		reply_claim(task, env->sender, claim,
			    BRIARPLANK__CLAIM_KEY_REPLY__CODE__LOG_UNAVAILABLE,
			    "");
		return;
	}
	switch (ledger_claim_key(ledger, claim, node_wall_ms())) {
	case LEDGER_OK:
		reply_claim_result(task, env->sender, ledger, claim);
		break;
	case LEDGER_QUEUED:
		wait_for_key(task, ledger, env);
		break;
	default:
		reply_claim(task, env->sender, claim,
			    BRIARPLANK__CLAIM_KEY_REPLY__CODE__OVERLOADED, "");
		break;
	}
}

void ledger_calls_start(struct ledger_task *task)
{
	struct bus *bus = task->super.node->bus;

	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_SEAL_JOB, on_seal,
			task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_STORE_PART,
			on_store_part, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CANCEL_JOB, on_cancel,
			task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_QUERY_JOB, on_query,
			task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_QUERY_RESULTS,
			on_results, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_LIST_JOBS, on_list,
			task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CLAIM_KEY, on_claim_key,
			task);
}

void ledger_calls_stop(struct ledger_task *task)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->chunk_waiters)
		call_free(list_entry(pos, struct call, link));
}
