/*
 * Measures the ledger: memory per open and per ended item, time to fold records,
 * size of a checkpoint, and recovery time by stream length with and without a
 * checkpoint.
 */
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "common/hash.h"
#include "core/ledger.h"
#include "ledger.pb-c.h"

#define JOB_ITEMS 100000u
#define CHUNK_ITEMS 1000u
#define APPEND_ITEMS 50u
#define RESULT_BYTES 200
#define US_PER_S 1000000

struct stream {
	/** Packed appends; the one at offset n has index n - 1. */
	GPtrArray *appends;
	struct ledger *ledger;
	uint8_t job_id[HASH128_BYTES];
};

static uint64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * US_PER_S + now.tv_nsec / 1000;
}

static struct ledger *ledger_new(void)
{
	struct ledger_options options = {
		.self = "entry-1",
		.incarnation = 1,
		.lease_ms = 6000,
		.outbox_max_bytes = 1 << 30,
	};

	return ledger_create(&options);
}

static void stream_add(struct stream *stream, GByteArray *bytes)
{
	g_ptr_array_add(stream->appends, bytes);
	ledger_fold_bytes(stream->ledger, stream->appends->len, 1000,
			  bytes->data, bytes->len);
}

static void fill_item(Briarplank__JobItem *item, char *id)
{
	briarplank__job_item__init(item);
	item->id = id;
	item->idempotent = true;
}

static void add_chunk(struct stream *stream, uint32_t index)
{
	static Briarplank__JobItem items[CHUNK_ITEMS];
	static Briarplank__JobItem *list[CHUNK_ITEMS];
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__JobChunk chunk = BRIARPLANK__JOB_CHUNK__INIT;
	GByteArray *bytes = g_byte_array_new();
	uint32_t i;

	for (i = 0; i < CHUNK_ITEMS; i++) {
		fill_item(&items[i], "item");
		list[i] = &items[i];
	}
	chunk.job_id.data = stream->job_id;
	chunk.job_id.len = HASH128_BYTES;
	chunk.submission_id = chunk.job_id;
	chunk.index = index;
	chunk.first_item = index * CHUNK_ITEMS;
	chunk.items = list;
	chunk.n_items = CHUNK_ITEMS;
	append.chunk = &chunk;
	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(&append));
	briarplank__shard_append__pack(&append, bytes->data);
	stream_add(stream, bytes);
}

static void add_job(struct stream *stream, const char *name)
{
	Briarplank__SealJob seal = BRIARPLANK__SEAL_JOB__INIT;
	uint32_t i;

	hash128_pair("desk", name, stream->job_id);
	for (i = 0; i < JOB_ITEMS / CHUNK_ITEMS; i++)
		add_chunk(stream, i);
	seal.job_id.data = stream->job_id;
	seal.job_id.len = HASH128_BYTES;
	seal.submission_id = seal.job_id;
	seal.content_hash = seal.job_id;
	seal.caller = "desk";
	seal.name = (char *)name;
	seal.service = "claims";
	seal.items = JOB_ITEMS;
	seal.keep_ms = 1000000;
	ledger_seal(stream->ledger, &seal, 1000);
	stream_add(stream, ledger_next_append(stream->ledger, 1 << 20));
}

static void end_items(struct stream *stream)
{
	static uint8_t result[RESULT_BYTES];
	ProtobufCBinaryData id = { HASH128_BYTES, stream->job_id };
	struct ledger_job *job = ledger_find(stream->ledger, id);
	struct ledger_granted_item grant;
	uint32_t i = 0;

	while (ledger_grant(job, "agent-1", false, 1000, &grant)) {
		Briarplank__GrantRef ref = BRIARPLANK__GRANT_REF__INIT;
		Briarplank__ItemOutcome outcome =
			BRIARPLANK__ITEM_OUTCOME__INIT;

		ref.epoch = ledger_epoch(stream->ledger);
		ref.grant_id = grant.grant_id;
		outcome.grant = &ref;
		outcome.body.data = result;
		outcome.body.len = RESULT_BYTES;
		ledger_complete(stream->ledger, &outcome, 3, 1000);
		if (++i % APPEND_ITEMS == 0)
			stream_add(stream,
				   ledger_next_append(stream->ledger, 1 << 30));
	}
}

static size_t used_bytes(void)
{
	struct mallinfo2 info;

	malloc_trim(0);
	info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

static uint64_t fold_all(const struct stream *stream, uint64_t from,
			 struct ledger *ledger)
{
	uint64_t start_us = now_us();
	uint64_t offset;

	for (offset = from; offset <= stream->appends->len; offset++) {
		const GByteArray *bytes = stream->appends->pdata[offset - 1];

		ledger_fold_bytes(ledger, offset, 1000, bytes->data,
				  bytes->len);
	}
	return now_us() - start_us;
}

/*
 * Measures a ledger's memory after it applied the records of a stream. The
 * memory of the stream itself is not counted.
 */
static void measure_memory(const struct stream *stream, const char *label)
{
	size_t before = used_bytes();
	struct ledger *ledger = ledger_new();

	fold_all(stream, 1, ledger);
	printf("%s bytes_an_item=%.1f\n", label,
	       (double)(used_bytes() - before) / JOB_ITEMS);
	ledger_destroy(ledger);
}

static void measure_recovery(const struct stream *stream, unsigned jobs)
{
	struct ledger *ledger = ledger_new();
	GPtrArray *parts = ledger_checkpoint_parts(stream->ledger);
	uint64_t start_us, bytes = 0;
	guint i;

	printf("jobs_%u fold_ms=%.1f", jobs,
	       fold_all(stream, 1, ledger) / 1000.0);
	ledger_reset(ledger);
	start_us = now_us();
	for (i = 0; i < parts->len; i++) {
		const GByteArray *part = parts->pdata[i];
		Briarplank__Checkpoint checkpoint =
			BRIARPLANK__CHECKPOINT__INIT;

		checkpoint.as_of_offset = stream->appends->len;
		checkpoint.state.data = part->data;
		checkpoint.state.len = part->len;
		ledger_load_checkpoint_part(ledger, &checkpoint);
		bytes += part->len;
	}
	printf(" checkpoint_ms=%.1f checkpoint_bytes_an_item=%.2f records=%u\n",
	       (now_us() - start_us) / 1000.0,
	       (double)bytes / (jobs * JOB_ITEMS), stream->appends->len);
	g_ptr_array_free(parts, TRUE);
	ledger_destroy(ledger);
}

int main(void)
{
	struct stream stream = {
		.appends = g_ptr_array_new(),
		.ledger = ledger_new(),
	};
	uint64_t start_us;
	unsigned jobs;

	stream_add(&stream, ledger_pack_claim(stream.ledger, false));
	ledger_take_over(stream.ledger, 1000);
	add_job(&stream, "job-1");
	measure_memory(&stream, "open");
	start_us = now_us();
	end_items(&stream);
	printf("owner items_per_s=%.0f\n",
	       (double)JOB_ITEMS * US_PER_S / (now_us() - start_us));
	measure_memory(&stream, "ended");
	measure_recovery(&stream, 1);
	for (jobs = 2; jobs <= 8; jobs++) {
		char name[16];

		snprintf(name, sizeof(name), "job-%u", jobs);
		add_job(&stream, name);
		end_items(&stream);
		if (jobs == 4 || jobs == 8)
			measure_recovery(&stream, jobs);
	}
	return 0;
}
