/*
 * Simulates one ledger shard under random faults with fixed seeds: competing
 * claims, pauses, lost and late appends, nodes that restart without state, and
 * agents that report twice, late or to the wrong node. Each item must end once,
 * a non-idempotent item must not run twice, and all readers must agree.
 *
 *   run seed=S steps=N
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
	/*
	 * The append in flight, which is sent again until it is applied or
	 * rejected.
	 */
	GByteArray *in_flight;
};

struct agent_grant {
	Briarplank__GrantRef ref;
	uint32_t item;
	unsigned node;
	uint64_t required_durable;
	bool idempotent;
	bool sent;
	Briarplank__ItemOutcome__Result result;
};

struct sim {
	GRand *rand;
	GPtrArray *log;
	/* Time at which the log service stored each record. */
	GArray *stored;
	/* Copies of delayed appends that the log service may store later. */
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

static bool chance(struct sim *sim, unsigned percent)
{
	return (unsigned)g_rand_int_range(sim->rand, 0, 100) < percent;
}

static void bytes_free(gpointer data)
{
	if (data)
		g_byte_array_unref(data);
}

static void store(struct sim *sim, GByteArray *bytes)
{
	g_ptr_array_add(sim->log, bytes);
	g_array_append_val(sim->stored, sim->now_ms);
}

static void node_start(struct sim *sim, unsigned i)
{
	struct node *node = &sim->nodes[i];
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

static void add_chunk(struct sim *sim, uint32_t index)
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
	chunk.job_id = field(sim->job_id);
	chunk.submission_id = field(sim->job_id);
	chunk.index = index;
	chunk.first_item = index * (ITEMS / CHUNKS);
	chunk.items = list;
	chunk.n_items = ITEMS / CHUNKS;
	append.chunk = &chunk;
	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(&append));
	briarplank__shard_append__pack(&append, bytes->data);
	store(sim, bytes);
}

/* Checks that an ended item has the same state for all readers. */
static void check_ended(struct sim *sim, const struct ledger *ledger)
{
	struct ledger_job *job = ledger_find(ledger, field(sim->job_id));
	uint32_t i;

	for (i = 0; job && i < ITEMS; i++) {
		int state = job->items[i].state;

		if (!ledger_item_ended(&job->items[i]))
			continue;
		if (sim->ended[i] && sim->ended[i] != state)
			g_string_append_printf(sim->out,
					       "item %u ended twice\n", i);
		sim->ended[i] = state;
	}
}

static void node_read(struct sim *sim, struct node *node)
{
	bool owned = ledger_owned(node->ledger);
	uint64_t offset;

	for (offset = ledger_position(node->ledger) + 1;
	     offset <= sim->log->len; offset++) {
		const GByteArray *bytes = sim->log->pdata[offset - 1];

		ledger_fold_bytes(
			node->ledger, offset,
			g_array_index(sim->stored, uint64_t, offset - 1),
			bytes->data, bytes->len);
		if (chance(sim, 5))
			check_ended(sim, node->ledger);
	}
	check_ended(sim, node->ledger);
	if (node->in_flight && (!ledger_owned(node->ledger) ||
				ledger_last_append_folded(node->ledger))) {
		bytes_free(node->in_flight);
		node->in_flight = NULL;
	}
	if (!owned && ledger_owned(node->ledger))
		ledger_take_over(node->ledger, sim->now_ms);
}

static GByteArray *copy_of(const GByteArray *bytes)
{
	GByteArray *copy = g_byte_array_new();

	return g_byte_array_append(copy, bytes->data, bytes->len);
}

/* Stores an append at once, later, twice or not at all. */
static void send_append(struct sim *sim, const GByteArray *bytes)
{
	if (chance(sim, 70))
		store(sim, copy_of(bytes));
	if (chance(sim, 20) && sim->late->len < LATE_MAX)
		g_ptr_array_add(sim->late, copy_of(bytes));
}

static void store_late(struct sim *sim)
{
	guint i;

	if (!sim->late->len)
		return;
	i = (guint)g_rand_int_range(sim->rand, 0, (gint)sim->late->len);
	store(sim, copy_of(sim->late->pdata[i]));
	g_ptr_array_remove_index_fast(sim->late, i);
}

static void node_flush(struct sim *sim, struct node *node)
{
	if (!node->in_flight)
		node->in_flight = ledger_next_append(node->ledger, 400);
	if (node->in_flight)
		send_append(sim, node->in_flight);
}

static void node_claim(struct sim *sim, struct node *node)
{
	GByteArray *bytes;

	if (ledger_owned(node->ledger))
		return;
	bytes = ledger_pack_claim(node->ledger, false);
	send_append(sim, bytes);
	bytes_free(bytes);
}

static void node_seal(struct sim *sim, struct node *node)
{
	Briarplank__SealJob seal = BRIARPLANK__SEAL_JOB__INIT;

	seal.job_id = field(sim->job_id);
	seal.submission_id = seal.job_id;
	seal.content_hash = seal.job_id;
	seal.caller = "desk";
	seal.name = "night";
	seal.service = "claims";
	seal.items = ITEMS;
	seal.keep_ms = 1 << 30;
	ledger_seal(node->ledger, &seal, sim->now_ms);
}

static void node_pull(struct sim *sim, unsigned i)
{
	struct ledger *ledger = sim->nodes[i].ledger;
	struct ledger_job *job = ledger_find(ledger, field(sim->job_id));
	struct ledger_granted_item grant;
	struct agent_grant held = { .node = i };

	if (!ledger_owned(ledger) || !job)
		return;
	if (!ledger_grant(job, "agent", chance(sim, 30), sim->now_ms, &grant))
		return;
	briarplank__grant_ref__init(&held.ref);
	held.ref.epoch = ledger_epoch(ledger);
	held.ref.grant_id = grant.grant_id;
	held.item = grant.item;
	held.required_durable = grant.required_durable;
	held.idempotent = grant.idempotent;
	g_array_append_val(sim->held, held);
}

/* Sends a grant to the agent if its intent is durable, and runs the item. */
static void try_send(struct sim *sim, struct agent_grant *held)
{
	const struct ledger *ledger = sim->nodes[held->node].ledger;

	if (held->sent || ledger_durable(ledger) < held->required_durable ||
	    !ledger_owned(ledger) ||
	    !ledger_grant_is_current(ledger, held->ref.grant_id,
				     held->ref.epoch))
		return;
	held->sent = true;
	held->result = (Briarplank__ItemOutcome__Result)g_rand_int_range(
		sim->rand, 0, 4);
	if (held->result == BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN)
		return;
	sim->runs[held->item]++;
	if (!held->idempotent && sim->runs[held->item] > 1)
		g_string_append_printf(sim->out, "item %u ran twice\n",
				       held->item);
}

static void agent_reports(struct sim *sim, struct agent_grant *held)
{
	struct node *node = &sim->nodes[g_rand_int_range(sim->rand, 0, NODES)];
	Briarplank__ItemOutcome outcome = BRIARPLANK__ITEM_OUTCOME__INIT;

	if (!held->sent)
		return;
	if (chance(sim, 30)) {
		ledger_renew(node->ledger, &held->ref, "agent", sim->now_ms);
		return;
	}
	outcome.grant = &held->ref;
	outcome.result = held->result;
	outcome.message = "error";
	ledger_complete(node->ledger, &outcome, ATTEMPTS_MAX, sim->now_ms);
}

static void agent_step(struct sim *sim)
{
	struct agent_grant *held;

	if (!sim->held->len)
		return;
	held = &g_array_index(
		sim->held, struct agent_grant,
		g_rand_int_range(sim->rand, 0, (gint)sim->held->len));
	try_send(sim, held);
	agent_reports(sim, held);
}

static void node_step(struct sim *sim, unsigned i)
{
	struct node *node = &sim->nodes[i];
	int percent = g_rand_int_range(sim->rand, 0, 100);

	if (percent < 1)
		node_start(sim, i);
	else if (percent < 3)
		node_claim(sim, node);
	else if (percent < 30)
		node_read(sim, node);
	else if (percent < 60)
		node_flush(sim, node);
	else if (percent < 65)
		node_seal(sim, node);
	else if (percent < 70)
		ledger_expire_leases(node->ledger, attempts_max, NULL,
				     sim->now_ms, sim->now_ms);
	else
		node_pull(sim, i);
}

static void step(struct sim *sim)
{
	sim->now_ms += g_rand_int_range(sim->rand, 0, 40);
	node_step(sim, (unsigned)g_rand_int_range(sim->rand, 0, NODES));
	agent_step(sim);
	if (chance(sim, 5))
		store_late(sim);
	if (chance(sim, 1))
		add_chunk(sim,
			  (uint32_t)g_rand_int_range(sim->rand, 0, CHUNKS));
}

/* Lets one owner end every item, without further faults. */
static void run_to_end(struct sim *sim)
{
	struct node *node = &sim->nodes[0];
	unsigned i;

	for (i = 0; i < CHUNKS; i++)
		add_chunk(sim, i);
	for (i = 0; i < 2000; i++) {
		node_read(sim, node);
		if (!ledger_owned(node->ledger))
			store(sim, ledger_pack_claim(node->ledger, false));
		node_seal(sim, node);
		node_pull(sim, 0);
		agent_step(sim);
		if (!node->in_flight)
			node->in_flight =
				ledger_next_append(node->ledger, 1 << 20);
		if (node->in_flight)
			store(sim, copy_of(node->in_flight));
		sim->now_ms += 50;
		ledger_expire_leases(node->ledger, attempts_max, NULL,
				     sim->now_ms, sim->now_ms);
	}
}

static bool readers_agree(struct sim *sim)
{
	GPtrArray *parts[NODES];
	const GByteArray *a, *b;
	bool same = true;
	unsigned i;

	node_start(sim, 2);
	for (i = 0; i < NODES; i++) {
		node_read(sim, &sim->nodes[i]);
		parts[i] = ledger_checkpoint_parts(sim->nodes[i].ledger);
		a = parts[0]->pdata[0];
		b = parts[i]->pdata[0];
		same = same && a->len == b->len &&
		       !memcmp(a->data, b->data, a->len);
	}
	for (i = 0; i < NODES; i++)
		g_ptr_array_free(parts[i], TRUE);
	return same;
}

static void report(struct sim *sim)
{
	unsigned i, nr = 0;

	for (i = 0; i < ITEMS; i++)
		nr += sim->ended[i] != 0;
	g_string_append_printf(
		sim->out, "%u of %u items ended, %s\n", nr, ITEMS,
		readers_agree(sim) ? "readers agree" : "readers differ");
}

static void run(int argc, char **argv, GString *out)
{
	struct sim sim = {
		.rand = g_rand_new_with_seed(
			(guint32)script_arg_int(argc, argv, "seed", 1)),
		.log = g_ptr_array_new_with_free_func(bytes_free),
		.stored = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.late = g_ptr_array_new_with_free_func(bytes_free),
		.held = g_array_new(FALSE, FALSE, sizeof(struct agent_grant)),
		.now_ms = 1000,
		.out = out,
	};
	int64_t steps = script_arg_int(argc, argv, "steps", 1000);
	unsigned i;

	hash128_pair("desk", "night", sim.job_id);
	for (i = 0; i < NODES; i++) {
		g_snprintf(sim.nodes[i].name, sizeof(sim.nodes[i].name),
			   "entry-%u", i);
		node_start(&sim, i);
	}
	while (steps--)
		step(&sim);
	run_to_end(&sim);
	report(&sim);
	for (i = 0; i < NODES; i++) {
		ledger_destroy(sim.nodes[i].ledger);
		bytes_free(sim.nodes[i].in_flight);
	}
	g_ptr_array_free(sim.log, TRUE);
	g_ptr_array_free(sim.late, TRUE);
	g_array_free(sim.stored, TRUE);
	g_array_free(sim.held, TRUE);
	g_rand_free(sim.rand);
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
