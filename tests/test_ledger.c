/*
 * Tests a ledger shard under faults: several nodes read and write one stream,
 * and appends can be lost, late, repeated or trimmed.
 *
 *   node N [incarnation=I]        creates a node with an empty ledger
 *   claim|release N               packs and appends a claim
 *   chunk JOB i=I first=F items=a,b [once] [sub=S] [part=P line=L]
 *   seal N JOB items=K [sub=S] [caller=C] [service=S] [due=T] [keep=T]
 *   seal N JOB parts=K [sub=S]
 *   store N JOB part=P line=L lines=K items=K [sub=S]
 *   cancel N JOB | key N KEY REQUEST [content] | release_key N KEY REQUEST
 *   flush N [hold]                appends queued records, or only packs them
 *   late N [again]                appends what was held; again keeps holding it
 *   read N                        applies the new records of the stream
 *   takeover N | expire N | time MS
 *   pull N AGENT [n=K] [alone] [service=S]
 *   free N SERVICE                prints the number of items to grant now
 *   done|failed|lost|notrun|renew N AGENT GRANT
 *   refresh N HORIZON             appends again what is needed up to HORIZON
 *   checkpoint N | restore N | trim OFFSET | sweep N
 *   show N | compare N N | results N JOB
 */
#include <string.h>

#include "common/error.h"
#include "core/ledger_state.h"
#include "ledger_world.h"
#include "script.h"

#define LEASE_MS 1000
#define ADOPT_MS 500
#define ATTEMPTS_MAX 3
#define NAMES_MAX 16

static uint32_t attempts_max(void *ctx, const char *service)
{
	(void)ctx;
	(void)service;
	return ATTEMPTS_MAX;
}

static void bytes_free(gpointer data)
{
	if (data)
		g_byte_array_unref(data);
}

static void node_free(gpointer data)
{
	struct node *node = data;

	ledger_destroy(node->ledger);
	bytes_free(node->held);
	g_free(node->name);
	g_free(node);
}

static void *fixture_create(void)
{
	struct ledger_schedule_options options = { 300, 60000 };
	struct fixture *fixture = g_new0(struct fixture, 1);

	fixture->log = g_ptr_array_new_with_free_func(bytes_free);
	fixture->first_offset = 1;
	fixture->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
	fixture->schedule = ledger_schedule_create(&options);
	fixture->grants =
		g_array_new(FALSE, FALSE, sizeof(Briarplank__GrantRef));
	fixture->now_ms = 1000;
	return fixture;
}

static void fixture_destroy(void *state)
{
	struct fixture *fixture = state;

	g_hash_table_destroy(fixture->nodes);
	g_ptr_array_free(fixture->log, TRUE);
	ledger_schedule_destroy(fixture->schedule);
	g_array_free(fixture->grants, TRUE);
	g_free(fixture);
}

static struct ledger *ledger_new(const struct node *node)
{
	struct ledger_options options = {
		.self = node->name,
		.incarnation = node->incarnation,
		.lease_ms = LEASE_MS,
		.adopt_ms = ADOPT_MS,
		.outbox_max_bytes = 1 << 20,
	};

	return ledger_create(&options);
}

static void world_add_node(struct fixture *fixture, int argc, char **argv)
{
	struct node *node = g_new0(struct node, 1);

	node->name = g_strdup(argv[1]);
	node->incarnation = script_arg_int(argc, argv, "incarnation", 1);
	node->ledger = ledger_new(node);
	g_hash_table_replace(fixture->nodes, node->name, node);
}

struct node *fixture_node(struct fixture *fixture, const char *name)
{
	struct node *node = g_hash_table_lookup(fixture->nodes, name);

	g_assert(node);
	return node;
}

uint64_t fixture_append(struct fixture *fixture, GByteArray *bytes,
			GString *out)
{
	g_ptr_array_add(fixture->log, bytes);
	if (out)
		g_string_append_printf(out, "at %u\n", fixture->log->len);
	return fixture->log->len;
}

static void make_id(const char *name, uint8_t out[HASH128_BYTES])
{
	hash128_pair("", name, out);
}

static ProtobufCBinaryData field(uint8_t *id)
{
	ProtobufCBinaryData data = { HASH128_BYTES, id };

	return data;
}

static bool has(int argc, char **argv, const char *word)
{
	int i;

	for (i = 1; i < argc; i++) {
		if (!strcmp(argv[i], word))
			return true;
	}
	return false;
}

static void chunk_add(struct fixture *fixture, int argc, char **argv,
		      GString *out)
{
	Briarplank__ShardAppend message = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__JobChunk chunk = BRIARPLANK__JOB_CHUNK__INIT;
	Briarplank__JobItem items[NAMES_MAX];
	Briarplank__JobItem *list[NAMES_MAX];
	char **names = g_strsplit(script_arg(argc, argv, "items", ""), ",", 0);
	uint8_t job[HASH128_BYTES], submission[HASH128_BYTES];
	GByteArray *bytes = g_byte_array_new();

	make_id(argv[1], job);
	make_id(script_arg(argc, argv, "sub", "s"), submission);
	chunk.job_id = field(job);
	chunk.submission_id = field(submission);
	chunk.index = script_arg_int(argc, argv, "i", 0);
	chunk.first_item = script_arg_int(argc, argv, "first", 0);
	chunk.part = script_arg_int(argc, argv, "part", 0);
	for (; names[chunk.n_items]; chunk.n_items++) {
		Briarplank__JobItem *item = &items[chunk.n_items];

		briarplank__job_item__init(item);
		item->id = names[chunk.n_items];
		item->idempotent = !has(argc, argv, "once");
		item->line =
			script_arg_int(argc, argv, "line", 0) + chunk.n_items;
		list[chunk.n_items] = item;
	}
	chunk.items = list;
	message.chunk = &chunk;
	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(&message));
	briarplank__shard_append__pack(&message, bytes->data);
	fixture_append(fixture, bytes, out);
	g_strfreev(names);
}

static const char *const statuses[] = {
	[LEDGER_OK] = "ok",
	[LEDGER_QUEUED] = "queued",
	[LEDGER_CONFLICT] = "conflict",
	[LEDGER_UNKNOWN_JOB] = "unknown job",
	[LEDGER_EXPIRED] = "expired",
	[LEDGER_NOT_OWNER] = "not owner",
	[LEDGER_BAD_SUBMISSION] = "bad submission",
	[LEDGER_OVERLOADED] = "overloaded",
	[LEDGER_BAD_LINE] = "bad line",
	[LEDGER_VOID_GRANT] = "void grant",
};

static void print_status(GString *out, enum ledger_status status)
{
	g_string_append_printf(out, "%s\n", statuses[status]);
}

/* Prints a status, and the error message if a request on parts is refused. */
static void print_status_and_error(GString *out, enum ledger_status status)
{
	if ((status == LEDGER_CONFLICT || status == LEDGER_BAD_LINE) &&
	    *error_last())
		g_string_append_printf(out, "%s: %s\n", statuses[status],
				       error_last());
	else
		print_status(out, status);
}

static void seal(struct fixture *fixture, int argc, char **argv, GString *out)
{
	Briarplank__SealJob message = BRIARPLANK__SEAL_JOB__INIT;
	uint8_t job[HASH128_BYTES], submission[HASH128_BYTES];

	make_id(argv[2], job);
	make_id(script_arg(argc, argv, "sub", "s"), submission);
	message.job_id = field(job);
	message.submission_id = field(submission);
	message.content_hash = field(submission);
	message.name = argv[2];
	message.caller = (char *)script_arg(argc, argv, "caller", "desk");
	message.service = (char *)script_arg(argc, argv, "service", "claims");
	message.items = script_arg_int(argc, argv, "items", 0);
	message.due_ms = script_arg_int(argc, argv, "due", 0);
	message.keep_ms = script_arg_int(argc, argv, "keep", 100000);
	message.parts = script_arg_int(argc, argv, "parts", 0);
	print_status_and_error(
		out, ledger_seal(fixture_node(fixture, argv[1])->ledger,
				 &message, fixture->now_ms));
}

static void store(struct fixture *fixture, int argc, char **argv, GString *out)
{
	Briarplank__StorePart message = BRIARPLANK__STORE_PART__INIT;
	uint8_t job[HASH128_BYTES], submission[HASH128_BYTES];

	make_id(argv[2], job);
	make_id(script_arg(argc, argv, "sub", "s"), submission);
	message.job_id = field(job);
	message.submission_id = field(submission);
	message.part = script_arg_int(argc, argv, "part", 1);
	message.first_line = script_arg_int(argc, argv, "line", 1);
	message.lines = script_arg_int(argc, argv, "lines", 0);
	message.items = script_arg_int(argc, argv, "items", message.lines);
	print_status_and_error(
		out, ledger_store_part(fixture_node(fixture, argv[1])->ledger,
				       &message, fixture->now_ms));
}

static void cancel(struct fixture *fixture, char **argv, GString *out)
{
	uint8_t job[HASH128_BYTES];

	make_id(argv[2], job);
	print_status(out, ledger_cancel(fixture_node(fixture, argv[1])->ledger,
					field(job), fixture->now_ms));
}

static const char *const key_codes[] = { "won",	    "lost",	 "conflict",
					 "not yet", "not owner", "overloaded",
					 "free" };

static void claim_key(struct fixture *fixture, int argc, char **argv,
		      GString *out)
{
	Briarplank__ClaimKey message = BRIARPLANK__CLAIM_KEY__INIT;
	struct ledger *ledger = fixture_node(fixture, argv[1])->ledger;
	uint8_t key[HASH128_BYTES], content[HASH128_BYTES];
	enum ledger_status status;
	const char *winner;

	make_id(argv[2], key);
	make_id(argc > 4 ? argv[4] : "content", content);
	message.key_hash = field(key);
	message.content_hash = field(content);
	message.request_id = argv[3];
	message.release = !strcmp(argv[0], "release_key");
	status = ledger_claim_key(ledger, &message, fixture->now_ms);
	if (status == LEDGER_OK)
		g_string_append_printf(out, "%s\n",
				       key_codes[ledger_claim_key_result(
					       ledger, &message, &winner)]);
	else
		print_status(out, status);
}

static void flush(struct fixture *fixture, int argc, char **argv, GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	GByteArray *bytes = ledger_next_append(node->ledger, 1 << 20);

	if (!bytes) {
		g_string_append(out, "nothing\n");
	} else if (has(argc, argv, "hold")) {
		bytes_free(node->held);
		node->held = bytes;
	} else {
		fixture_append(fixture, bytes, out);
	}
}

static void deliver_late(struct fixture *fixture, int argc, char **argv,
			 GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	GByteArray *copy;

	copy = g_byte_array_new();
	g_byte_array_append(copy, node->held->data, node->held->len);
	fixture_append(fixture, copy, out);
	if (has(argc, argv, "again"))
		return;
	bytes_free(node->held);
	node->held = NULL;
}

void fixture_read(struct fixture *fixture, struct node *node, GString *out)
{
	uint64_t offset = ledger_position(node->ledger) + 1;

	if (offset < fixture->first_offset) {
		ledger_start_truncated(node->ledger, fixture->first_offset);
		offset = fixture->first_offset;
	}
	for (; offset <= fixture->log->len; offset++) {
		const GByteArray *bytes = fixture->log->pdata[offset - 1];
		enum ledger_fold_result result;

		result =
			ledger_fold_bytes(node->ledger, offset, fixture->now_ms,
					  bytes->data, bytes->len);
		if (result != LEDGER_FOLDED && out)
			g_string_append_printf(
				out, "%" G_GUINT64_FORMAT " %s\n", offset,
				ledger_fold_result_text(result));
	}
}

static void print_grant(struct fixture *fixture, const struct ledger *ledger,
			const struct ledger_granted_item *grant, GString *out)
{
	Briarplank__GrantRef ref = BRIARPLANK__GRANT_REF__INIT;
	struct ledger_job *job =
		ledger_find(ledger, field((uint8_t *)grant->job_id));

	ref.epoch = ledger_epoch(ledger);
	ref.grant_id = grant->grant_id;
	g_array_append_val(fixture->grants, ref);
	g_string_append_printf(out, "g%u %s/%u attempt %u%s%s\n",
			       fixture->grants->len, job->name, grant->item,
			       grant->attempt, grant->alone ? " alone" : "",
			       grant->required_durable ? " after its intent" :
							 "");
}

static void pull(struct fixture *fixture, int argc, char **argv, GString *out)
{
	struct ledger *ledger = fixture_node(fixture, argv[1])->ledger;
	const char *service = script_arg(argc, argv, "service", "claims");
	int64_t nr = script_arg_int(argc, argv, "n", 1);
	bool alone = has(argc, argv, "alone");

	while (nr-- > 0) {
		struct ledger_granted_item grant;
		struct ledger_job *job = ledger_schedule_choose(
			fixture->schedule, &ledger, 1, service, alone,
			fixture->now_ms, fixture->now_ms);

		if (!job || !ledger_grant(job, argv[2], alone, fixture->now_ms,
					  &grant)) {
			g_string_append(out, "no item\n");
			return;
		}
		ledger_schedule_charge(fixture->schedule, job, fixture->now_ms);
		print_grant(fixture, ledger, &grant, out);
	}
}

static Briarplank__GrantRef *grant_ref(struct fixture *fixture,
				       const char *label)
{
	guint nr = (guint)g_ascii_strtoull(label + 1, NULL, 10);

	g_assert(nr && nr <= fixture->grants->len);
	return &g_array_index(fixture->grants, Briarplank__GrantRef, nr - 1);
}

static void complete(struct fixture *fixture, char **argv,
		     Briarplank__ItemOutcome__Result result, GString *out)
{
	Briarplank__ItemOutcome outcome = BRIARPLANK__ITEM_OUTCOME__INIT;

	outcome.grant = grant_ref(fixture, argv[3]);
	outcome.result = result;
	outcome.body.data = (uint8_t *)argv[3];
	outcome.body.len = strlen(argv[3]);
	outcome.message = "error";
	print_status(out,
		     ledger_complete(fixture_node(fixture, argv[1])->ledger,
				     &outcome, ATTEMPTS_MAX, fixture->now_ms));
}

static void print_revoked(struct ledger *ledger, GString *out)
{
	GPtrArray *revoked = ledger_take_revoked(ledger);
	guint i;

	for (i = 0; i < revoked->len; i++) {
		const struct ledger_revoked *entry = revoked->pdata[i];

		if (*entry->agent)
			g_string_append_printf(out, "revoked from %s\n",
					       entry->agent);
	}
	g_ptr_array_free(revoked, TRUE);
}

static void show_job(void *ctx, struct ledger_job *job)
{
	static const char letters[] = "wiDFCU";
	GString *out = ctx;
	uint32_t i;

	g_string_append_printf(out, "%s ", job->name);
	for (i = 0; i < job->items_nr; i++) {
		const struct ledger_item *item = &job->items[i];
		char letter = letters[item->state];

		if (item->flags & ITEM_GRANTED && letter == 'w')
			letter = 'r';
		g_string_append_c(out, letter);
		if (item->attempts && !ledger_item_ended(item))
			g_string_append_printf(out, "%u", item->attempts);
		if (item->flags & ITEM_SUSPECT && !ledger_item_ended(item))
			g_string_append_c(out, '!');
	}
	g_string_append(out, "\n");
}

static void show(struct fixture *fixture, char **argv, GString *out)
{
	struct ledger *ledger = fixture_node(fixture, argv[1])->ledger;

	g_string_append_printf(out,
			       "epoch %" G_GUINT64_FORMAT
			       " %s, durable %" G_GUINT64_FORMAT
			       " of %" G_GUINT64_FORMAT "\n",
			       ledger_epoch(ledger),
			       ledger_owned(ledger)  ? "own" :
			       *ledger_owner(ledger) ? ledger_owner(ledger) :
						       "free",
			       ledger_durable(ledger), ledger_queued(ledger));
	ledger_each_job(ledger, show_job, out);
}

/* Runs a command whose first argument is a node. */
static void node_command(struct fixture *fixture, int argc, char **argv,
			 GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	struct ledger *ledger = node->ledger;

	if (!strcmp(*argv, "claim"))
		fixture_append(fixture, ledger_pack_claim(ledger, false), out);
	else if (!strcmp(*argv, "release"))
		fixture_append(fixture, ledger_pack_claim(ledger, true), out);
	else if (!strcmp(*argv, "seal"))
		seal(fixture, argc, argv, out);
	else if (!strcmp(*argv, "store"))
		store(fixture, argc, argv, out);
	else if (!strcmp(*argv, "cancel"))
		cancel(fixture, argv, out);
	else if (!strcmp(*argv, "key") || !strcmp(*argv, "release_key"))
		claim_key(fixture, argc, argv, out);
	else if (!strcmp(*argv, "flush"))
		flush(fixture, argc, argv, out);
	else if (!strcmp(*argv, "late"))
		deliver_late(fixture, argc, argv, out);
	else if (!strcmp(*argv, "read"))
		fixture_read(fixture, node, out);
	else if (!strcmp(*argv, "takeover"))
		ledger_take_over(ledger, fixture->now_ms);
	else if (!strcmp(*argv, "expire"))
		ledger_expire_leases(ledger, attempts_max, NULL,
				     fixture->now_ms, fixture->now_ms);
	else if (!strcmp(*argv, "sweep"))
		ledger_remove_expired(ledger, fixture->now_ms);
	else if (!strcmp(*argv, "pull"))
		pull(fixture, argc, argv, out);
	else if (!strcmp(*argv, "free"))
		g_string_append_printf(
			out, "%u\n",
			ledger_schedule_available_nr(&ledger, 1, argv[2],
						     fixture->now_ms));
	else if (!strcmp(*argv, "renew"))
		g_string_append_printf(out, "%s\n",
				       ledger_renew(ledger,
						    grant_ref(fixture, argv[3]),
						    argv[2], fixture->now_ms) ?
					       "renewed" :
					       "void");
	else if (!strcmp(*argv, "refresh"))
		fixture_refresh(fixture, argv, out);
	else if (!strcmp(*argv, "checkpoint"))
		fixture_checkpoint(fixture, argv, out);
	else if (!strcmp(*argv, "restore"))
		fixture_restore(fixture, argv, out);
	else if (!strcmp(*argv, "show"))
		show(fixture, argv, out);
	else if (!strcmp(*argv, "results"))
		fixture_results(fixture, argv, out);
	else
		g_string_append_printf(out, "no command %s\n", *argv);
	print_revoked(ledger, out);
}

static const struct {
	const char *name;
	Briarplank__ItemOutcome__Result result;
} outcomes[] = {
	{ "done", BRIARPLANK__ITEM_OUTCOME__RESULT__DONE },
	{ "failed", BRIARPLANK__ITEM_OUTCOME__RESULT__FAILED },
	{ "notrun", BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN },
	{ "lost", BRIARPLANK__ITEM_OUTCOME__RESULT__LOST },
};

static bool outcome_command(struct fixture *fixture, char **argv, GString *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(outcomes); i++) {
		if (strcmp(*argv, outcomes[i].name))
			continue;
		complete(fixture, argv, outcomes[i].result, out);
		return true;
	}
	return false;
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct fixture *fixture = state;

	if (!strcmp(*argv, "node"))
		world_add_node(fixture, argc, argv);
	else if (!strcmp(*argv, "chunk"))
		chunk_add(fixture, argc, argv, out);
	else if (!strcmp(*argv, "time"))
		fixture->now_ms += g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(*argv, "trim"))
		fixture->first_offset = g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(*argv, "compare"))
		g_string_append_printf(
			out, "%s\n",
			fixture_same_checkpoints(
				fixture_node(fixture, argv[1])->ledger,
				fixture_node(fixture, argv[2])->ledger) ?
				"equal" :
				"different");
	else if (!outcome_command(fixture, argv, out))
		node_command(fixture, argc, argv, out);
}

static const struct script_driver driver = {
	.name = "ledger",
	.create = fixture_create,
	.destroy = fixture_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
