/*
 * Writes checkpoints of an owned shard, one part per append, and then a hint
 * that points to them.
 */
#include "briarplankd/entry/shard_state.h"
#include "common/log.h"

#define PART "ledger"

/* Number of records in the stream after which a new checkpoint is due. */
#define CHECKPOINT_INTERVAL 1000

static bool checkpoint_is_due(const struct shard *shard)
{
	uint64_t position = ledger_position(shard->ledger);
	uint64_t as_of = ledger_checkpoint(shard->ledger)->as_of_offset;

	return shard->checkpoint_due || position - as_of >= CHECKPOINT_INTERVAL;
}

static void begin_checkpoint(struct shard *shard)
{
	shard->parts = ledger_checkpoint_parts(shard->ledger);
	shard->parts_as_of = ledger_position(shard->ledger);
	shard->parts_sent = 0;
	shard->checkpoint_due = false;
	if (shard->parts->len <= LEDGER_CHECKPOINT_PARTS_MAX)
		return;
	log_error(PART, "shard %u: too many checkpoint parts; none is written",
		  shard->options.index);
	g_ptr_array_set_size(shard->parts, 0);
}

GByteArray *shard_next_checkpoint_part(struct shard *shard, uint64_t now_ms)
{
	GByteArray *bytes;

	(void)now_ms;
	if (!shard->parts && checkpoint_is_due(shard))
		begin_checkpoint(shard);
	if (!shard->parts)
		return NULL;
	if (shard->parts_sent == shard->parts->len) {
		g_ptr_array_free(shard->parts, TRUE);
		shard->parts = NULL;
		/*
		 * A node that opens the shard finds the parts of the checkpoint
		 * by this hint.
		 */
		return ledger_pack_hint(shard->ledger);
	}
	bytes = ledger_pack_checkpoint_part(
		shard->ledger, shard->parts->pdata[shard->parts_sent],
		shard->parts_as_of, shard->parts_sent, shard->parts->len);
	shard->parts_sent++;
	return bytes;
}
