/*
 * Random faults on one ledger shard by fixed seeds: claims, pauses, lost and
 * late appends, restarts from nothing, agents that report twice, late and to
 * the wrong node. Each item must end once, what may not run twice must not,
 * and all readers must agree.
 *
 *   storm seed=S steps=N
 */
#include <string.h>

#include "core/ledger_state.h"
#include "script.h"

#define NODES 3
#define ITEMS 60
#define CHUNKS 3
#define LEASE_MS 1000
#define ADOPT_MS 200
#define ATTEMPTS_MAX 4
#define LATE_MAX 64

struct node {
	char name[8];
	uint64_t incarnation;
	struct ledger *ledger;
	/* Append in flight, resent until it is folded or void. */
	GByteArray *in_flight;
};

struct held {
	Briarplank__GrantRef ref;
	uint32_t item;
	unsigned node;
	uint64_t mark;
	bool idempotent;
	bool sent;
	Briarplank__ItemOutcome__Result result;
};

struct storm {
	GRand *rand;
	GPtrArray *log;
	/* Time at which the service stored each record. */
	GArray *stored;
	/* Copies of appends that the service may store later. */
	GPtrArray *late;
	struct node nodes[NODES];
	GArray *held;
	uint8_t job_id[HASH128_BYTES];
	unsigned runs[ITEMS];
	int ended[ITEMS];
	uint64_t now_ms;
	GString *out;
};

static uint32_t attempts_max(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return ATTEMPTS_MAX;
}

static bool chance(struct storm *storm, unsigned percent)
{
	return (unsigned)g_rand_int_range(storm->rand, 0, 100) < percent;
}

static void bytes_free(gpointer data)
{
	if (data)
		g_byte_array_unref(data);
}

static void store(struct storm *storm, GByteArray *bytes)
{
	g_ptr_array_add(storm->log, bytes);
	g_array_append_val(storm->stored, storm->now_ms);
}

static void node_start(struct storm *storm, unsigned i)
{
	struct node *node = &storm->nodes[i];
	struct ledger_options options = {
		.self = node->name,
		.incarnation = ++node->incarnation,
		.lease_ms = LEASE_MS,
		.adopt_ms = ADOPT_MS,
		.outbox_max_bytes = 1 << 20,
	};

	if (node->ledger)
		ledger_destroy(node->ledger);
	bytes_free(node->in_flight);
	node->in_flight = NULL;
	g_snprintf(node->name, sizeof(node->name), "entry-%u", i % 10);
	node->ledger = ledger_create(&options);
}

static ProtobufCBinaryData field(uint8_t *id)
{
	ProtobufCBinaryData data = { HASH128_BYTES, id };

	return data;
}

static void add_chunk(struct storm *storm, uint32_t index)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__JobChunk chunk = BRIARPLANK__JOB_CHUNK__INIT;
	Briarplank__JobItem items[ITEMS / CHUNKS];
	Briarplank__JobItem *list[ITEMS / CHUNKS];
	GByteArray *bytes = g_byte_array_new();
	uint32_t i;

	for (i = 0; i < ITEMS / CHUNKS; i++) {
		briarplank__job_item__init(&items[i]);
		items[i].id = "item";
		items[i].idempotent = i % 2;
		list[i] = &items[i];
	}
	chunk.job_id = field(storm->job_id);
	chunk.submission_id = field(storm->job_id);
	chunk.index = index;
	chunk.first_item = index * (ITEMS / CHUNKS);
	chunk.items = list;
	chunk.n_items = ITEMS / CHUNKS;
	append.chunk = &chunk;
	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(&append));
	briarplank__shard_append__pack(&append, bytes->data);
	store(storm, bytes);
}

/* An item that has ended for one reader may never end otherwise. */
static void check_ended(struct storm *storm, const struct ledger *ledger)
{
	struct ledger_job *job = ledger_find(ledger, field(storm->job_id));
	uint32_t i;

	for (i = 0; job && i < ITEMS; i++) {
		int state = job->items[i].state;

		if (!ledger_item_ended(&job->items[i]))
			continue;
		if (storm->ended[i] && storm->ended[i] != state)
			g_string_append_printf(storm->out,
					       "item %u ended twice\n", i);
		storm->ended[i] = state;
	}
}

static void node_read(struct storm *storm, struct node *node)
{
	bool owned = ledger_owned(node->ledger);
	uint64_t offset;

	for (offset = ledger_position(node->ledger) + 1;
	     offset <= storm->log->len; offset++) {
		const GByteArray *bytes = storm->log->pdata[offset - 1];

		ledger_fold_bytes(
			node->ledger, offset,
			g_array_index(storm->stored, uint64_t, offset - 1),
			bytes->data, bytes->len);
		if (chance(storm, 5))
			check_ended(storm, node->ledger);
	}
	check_ended(storm, node->ledger);
	if (node->in_flight && (!ledger_owned(node->ledger) ||
				ledger_append_folded(node->ledger))) {
		bytes_free(node->in_flight);
		node->in_flight = NULL;
	}
	if (!owned && ledger_owned(node->ledger))
		ledger_take_over(node->ledger, storm->now_ms);
}

static GByteArray *copy_of(const GByteArray *bytes)
{
	GByteArray *copy = g_byte_array_new();

	return g_byte_array_append(copy, bytes->data, bytes->len);
}

/* The service stores it now, later, twice, or not at all. */
static void send_append(struct storm *storm, const GByteArray *bytes)
{
	if (chance(storm, 70))
		store(storm, copy_of(bytes));
	if (chance(storm, 20) && storm->late->len < LATE_MAX)
		g_ptr_array_add(storm->late, copy_of(bytes));
}

static void store_late(struct storm *storm)
{
	guint i;

	if (!storm->late->len)
		return;
	i = (guint)g_rand_int_range(storm->rand, 0, (gint)storm->late->len);
	store(storm, copy_of(storm->late->pdata[i]));
	g_ptr_array_remove_index_fast(storm->late, i);
}

static void node_flush(struct storm *storm, struct node *node)
{
	if (!node->in_flight)
		node->in_flight = ledger_next_append(node->ledger, 400);
	if (node->in_flight)
		send_append(storm, node->in_flight);
}

static void node_claim(struct storm *storm, struct node *node)
{
	GByteArray *bytes;

	if (ledger_owned(node->ledger))
		return;
	bytes = ledger_pack_claim(node->ledger, false);
	send_append(storm, bytes);
	bytes_free(bytes);
}

static void node_seal(struct storm *storm, struct node *node)
{
	Briarplank__SealJob seal = BRIARPLANK__SEAL_JOB__INIT;

	seal.job_id = field(storm->job_id);
	seal.submission_id = seal.job_id;
	seal.content_hash = seal.job_id;
	seal.caller = "desk";
	seal.name = "night";
	seal.service = "claims";
	seal.items = ITEMS;
	seal.keep_ms = 1 << 30;
	ledger_seal(node->ledger, &seal, storm->now_ms);
}

static void node_pull(struct storm *storm, unsigned i)
{
	struct ledger *ledger = storm->nodes[i].ledger;
	struct ledger_job *job = ledger_find(ledger, field(storm->job_id));
	struct ledger_grant_out grant;
	struct held held = { .node = i };

	if (!ledger_owned(ledger) || !job)
		return;
	if (!ledger_grant(job, "agent", chance(storm, 30), storm->now_ms,
			  &grant))
		return;
	briarplank__grant_ref__init(&held.ref);
	held.ref.epoch = ledger_epoch(ledger);
	held.ref.grant_id = grant.grant_id;
	held.item = grant.item;
	held.mark = grant.mark;
	held.idempotent = grant.idempotent;
	g_array_append_val(storm->held, held);
}

/* The grant reaches the agent once its intent is durable. */
static void try_send(struct storm *storm, struct held *held)
{
	const struct ledger *ledger = storm->nodes[held->node].ledger;

	if (held->sent || ledger_durable(ledger) < held->mark ||
	    !ledger_owned(ledger) ||
	    !ledger_grant_live(ledger, held->ref.grant_id, held->ref.epoch))
		return;
	held->sent = true;
	held->result = (Briarplank__ItemOutcome__Result)g_rand_int_range(
		storm->rand, 0, 4);
	if (held->result == BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN)
		return;
	storm->runs[held->item]++;
	if (!held->idempotent && storm->runs[held->item] > 1)
		g_string_append_printf(storm->out, "item %u ran twice\n",
				       held->item);
}

static void agent_reports(struct storm *storm, struct held *held)
{
	struct node *node =
		&storm->nodes[g_rand_int_range(storm->rand, 0, NODES)];
	Briarplank__ItemOutcome outcome = BRIARPLANK__ITEM_OUTCOME__INIT;

	if (!held->sent)
		return;
	if (chance(storm, 30)) {
		ledger_renew(node->ledger, &held->ref, "agent", storm->now_ms);
		return;
	}
	outcome.grant = &held->ref;
	outcome.result = held->result;
	outcome.message = "error";
	ledger_complete(node->ledger, &outcome, ATTEMPTS_MAX, storm->now_ms);
}

static void agent_step(struct storm *storm)
{
	struct held *held;

	if (!storm->held->len)
		return;
	held = &g_array_index(
		storm->held, struct held,
		g_rand_int_range(storm->rand, 0, (gint)storm->held->len));
	try_send(storm, held);
	agent_reports(storm, held);
}

static void node_step(struct storm *storm, unsigned i)
{
	struct node *node = &storm->nodes[i];
	int dice = g_rand_int_range(storm->rand, 0, 100);

	if (dice < 1)
		node_start(storm, i);
	else if (dice < 3)
		node_claim(storm, node);
	else if (dice < 30)
		node_read(storm, node);
	else if (dice < 60)
		node_flush(storm, node);
	else if (dice < 65)
		node_seal(storm, node);
	else if (dice < 70)
		ledger_expire(node->ledger, attempts_max, NULL, storm->now_ms,
			      storm->now_ms);
	else
		node_pull(storm, i);
}

static void step(struct storm *storm)
{
	storm->now_ms += g_rand_int_range(storm->rand, 0, 40);
	node_step(storm, (unsigned)g_rand_int_range(storm->rand, 0, NODES));
	agent_step(storm);
	if (chance(storm, 5))
		store_late(storm);
	if (chance(storm, 1))
		add_chunk(storm,
			  (uint32_t)g_rand_int_range(storm->rand, 0, CHUNKS));
}

/* One owner without further faults must bring every item to its end. */
static void settle(struct storm *storm)
{
	struct node *node = &storm->nodes[0];
	unsigned i;

	for (i = 0; i < CHUNKS; i++)
		add_chunk(storm, i);
	for (i = 0; i < 2000; i++) {
		node_read(storm, node);
		if (!ledger_owned(node->ledger))
			store(storm, ledger_pack_claim(node->ledger, false));
		node_seal(storm, node);
		node_pull(storm, 0);
		agent_step(storm);
		if (!node->in_flight)
			node->in_flight =
				ledger_next_append(node->ledger, 1 << 20);
		if (node->in_flight)
			store(storm, copy_of(node->in_flight));
		storm->now_ms += 50;
		ledger_expire(node->ledger, attempts_max, NULL, storm->now_ms,
			      storm->now_ms);
	}
}

static bool agree(struct storm *storm)
{
	GPtrArray *parts[NODES];
	const GByteArray *a, *b;
	bool same = true;
	unsigned i;

	node_start(storm, 2);
	for (i = 0; i < NODES; i++) {
		node_read(storm, &storm->nodes[i]);
		parts[i] = ledger_checkpoint_parts(storm->nodes[i].ledger);
		a = parts[0]->pdata[0];
		b = parts[i]->pdata[0];
		same = same && a->len == b->len &&
		       !memcmp(a->data, b->data, a->len);
	}
	for (i = 0; i < NODES; i++)
		g_ptr_array_free(parts[i], TRUE);
	return same;
}

static void report(struct storm *storm)
{
	unsigned i, nr = 0;

	for (i = 0; i < ITEMS; i++)
		nr += storm->ended[i] != 0;
	g_string_append_printf(
		storm->out, "%u of %u items ended, %s\n", nr, ITEMS,
		agree(storm) ? "readers agree" : "readers differ");
}

static void run(int argc, char **argv, GString *out)
{
	struct storm storm = {
		.rand = g_rand_new_with_seed(
			(guint32)script_arg_int(argc, argv, "seed", 1)),
		.log = g_ptr_array_new_with_free_func(bytes_free),
		.stored = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.late = g_ptr_array_new_with_free_func(bytes_free),
		.held = g_array_new(FALSE, FALSE, sizeof(struct held)),
		.now_ms = 1000,
		.out = out,
	};
	int64_t steps = script_arg_int(argc, argv, "steps", 1000);
	unsigned i;

	hash128_pair("desk", "night", storm.job_id);
	for (i = 0; i < NODES; i++) {
		g_snprintf(storm.nodes[i].name, sizeof(storm.nodes[i].name),
			   "entry-%u", i);
		node_start(&storm, i);
	}
	while (steps--)
		step(&storm);
	settle(&storm);
	report(&storm);
	for (i = 0; i < NODES; i++) {
		ledger_destroy(storm.nodes[i].ledger);
		bytes_free(storm.nodes[i].in_flight);
	}
	g_ptr_array_free(storm.log, TRUE);
	g_ptr_array_free(storm.late, TRUE);
	g_array_free(storm.stored, TRUE);
	g_array_free(storm.held, TRUE);
	g_rand_free(storm.rand);
}

static void *state_create(void)
{
	return g_new0(int, 1);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	(void)state;
	run(argc, argv, out);
}

static const struct script_driver driver = {
	.name = "ledger_storm",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
