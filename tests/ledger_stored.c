/*
 * Commands of the ledger test for checkpoints, results and repeated appends.
 */
#include <string.h>

#include "core/ledger_state.h"
#include "ledger_world.h"

bool fixture_same_checkpoints(const struct ledger *a, const struct ledger *b)
{
	GPtrArray *x = ledger_checkpoint_parts(a);
	GPtrArray *y = ledger_checkpoint_parts(b);
	bool same =
		x->len == y->len && ledger_position(a) == ledger_position(b);
	guint i;

	for (i = 0; same && i < x->len; i++) {
		const GByteArray *p = x->pdata[i];
		const GByteArray *q = y->pdata[i];

		same = p->len == q->len && !memcmp(p->data, q->data, p->len);
	}
	g_ptr_array_free(x, TRUE);
	g_ptr_array_free(y, TRUE);
	return same;
}

void fixture_checkpoint(struct fixture *fixture, char **argv, GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	GPtrArray *parts = ledger_checkpoint_parts(node->ledger);
	uint64_t as_of = ledger_position(node->ledger);
	guint i;

	for (i = 0; i < parts->len; i++) {
		fixture_append(fixture,
			       ledger_pack_checkpoint_part(
				       node->ledger, parts->pdata[i], as_of, i,
				       parts->len),
			       out);
		fixture_read(fixture, node, out);
	}
	g_ptr_array_free(parts, TRUE);
}

static const Briarplank__CheckpointHint *find_hint(
	struct fixture *fixture, Briarplank__ShardAppend **holder)
{
	uint64_t offset;

	for (offset = fixture->log->len; offset >= fixture->first_offset;
	     offset--) {
		const GByteArray *bytes = fixture->log->pdata[offset - 1];

		*holder = briarplank__shard_append__unpack(NULL, bytes->len,
							   bytes->data);
		if ((*holder)->hint)
			return (*holder)->hint;
		briarplank__shard_append__free_unpacked(*holder, NULL);
	}
	return NULL;
}

/* Restores a node from the newest checkpoint that the stream points to. */
void fixture_restore(struct fixture *fixture, char **argv, GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	Briarplank__ShardAppend *holder;
	const Briarplank__CheckpointHint *hint = find_hint(fixture, &holder);
	size_t i;

	if (!hint) {
		g_string_append(out, "no checkpoint\n");
		return;
	}
	for (i = 0; i < hint->n_part_offsets; i++) {
		uint64_t offset = hint->part_offsets[i];
		const GByteArray *bytes = fixture->log->pdata[offset - 1];
		Briarplank__ShardAppend *part =
			briarplank__shard_append__unpack(NULL, bytes->len,
							 bytes->data);

		g_assert(offset >= fixture->first_offset);
		if (!ledger_load_checkpoint_part(node->ledger,
						 part->checkpoint))
			g_string_append(out, "bad part\n");
		briarplank__shard_append__free_unpacked(part, NULL);
	}
	g_string_append_printf(out, "as of %" G_GUINT64_FORMAT "\n",
			       hint->as_of_offset);
	briarplank__shard_append__free_unpacked(holder, NULL);
	fixture_read(fixture, node, out);
}

void fixture_results(struct fixture *fixture, char **argv, GString *out)
{
	struct ledger *ledger = fixture_node(fixture, argv[1])->ledger;
	GArray *locations = g_array_new(FALSE, FALSE,
					sizeof(struct ledger_result_location));
	uint8_t id[HASH128_BYTES];
	ProtobufCBinaryData job_id = { HASH128_BYTES, id };
	struct ledger_job *job;
	bool more;
	guint i;

	hash128_pair("", argv[2], id);
	job = ledger_find(ledger, job_id);
	g_assert(job);
	if (ledger_job_status(job, fixture->now_ms) == LEDGER_EXPIRED)
		g_string_append(out, "expired\n");
	ledger_results(job, 0, locations, 100, &more);
	for (i = 0; i < locations->len; i++) {
		const struct ledger_result_location *location = &g_array_index(
			locations, struct ledger_result_location, i);

		g_string_append_printf(
			out,
			"%u %s id at %" G_GUINT64_FORMAT
			"/%u result at %" G_GUINT64_FORMAT "\n",
			location->item, ledger_item_status(location->state),
			location->body_offset, location->body_index,
			location->result_offset);
	}
	g_array_free(locations, TRUE);
}

/* Appends again the chunk or results of an old append that are still needed. */
static void refresh_one(struct fixture *fixture, struct node *node,
			uint64_t offset, GString *out)
{
	const GByteArray *bytes = fixture->log->pdata[offset - 1];
	Briarplank__ShardAppend *append =
		briarplank__shard_append__unpack(NULL, bytes->len, bytes->data);
	GByteArray *next;

	if (ledger_reappend(node->ledger, offset, append))
		next = ledger_pack_chunk(node->ledger, append->chunk);
	else
		next = ledger_next_append(node->ledger, 1 << 20);
	if (next) {
		fixture_append(fixture, next, out);
		fixture_read(fixture, node, out);
	}
	briarplank__shard_append__free_unpacked(append, NULL);
}

void fixture_refresh(struct fixture *fixture, char **argv, GString *out)
{
	struct node *node = fixture_node(fixture, argv[1]);
	GArray *offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	guint i;

	ledger_list_old_offsets(node->ledger,
				g_ascii_strtoull(argv[2], NULL, 10), offsets);
	for (i = 0; i < offsets->len; i++)
		refresh_one(fixture, node, g_array_index(offsets, uint64_t, i),
			    out);
	g_array_free(offsets, TRUE);
}
