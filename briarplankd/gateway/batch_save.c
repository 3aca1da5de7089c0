#include "batch_save.h"
#include "common/log.h"
#include "peers.h"

/* Deadline of a save, in ms; the same as a stopping node's wait for its last
 * save (HANDOVER_TIMEOUT_MS). */
#define SAVE_TIMEOUT_MS 2000

/* A save in flight: the outputs are written first, then one progress record for
 * each of them. */
struct batch_save {
	struct batch *batch;
	GPtrArray *entries;
	/* Number of progress records whose append has not ended. */
	unsigned pending_appends;
};

struct save_entry {
	struct batch_save *save;
	char *job;
	char *item_id;
	size_t item;
	uint64_t last_event;
	uint64_t software;
	/* That of the run when its output was copied. */
	unsigned output_number;
};

static void save_entry_free(gpointer data)
{
	struct save_entry *entry = data;

	g_free(entry->job);
	g_free(entry->item_id);
	g_free(entry);
}

static void save_end(struct batch_save *save)
{
	struct batch *batch = save->batch;

	/* An earlier save may end after a newer one has started. */
	if (batch->save == save) {
		batch->save = NULL;
		if (batch->gateway->stopping)
			batch_handed_over(batch, "saved");
	}
	batch_save_free(save);
}

static void on_save_appended(void *ctx, enum job_append_result result)
{
	struct save_entry *entry = ctx;
	struct batch_save *save = entry->save;

	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s %s after_event=%" PRIu64
		  " software=%016" PRIx64,
		  entry->job, entry->item_id,
		  result == JOB_APPEND_DONE ? "saved" : "not saved",
		  entry->last_event, entry->software);
	if (--save->pending_appends == 0)
		save_end(save);
}

/* Tells whether the output has been discarded here since it was copied. */
static bool was_discarded(const struct save_entry *entry)
{
	struct gateway *gateway = entry->save->batch->gateway;
	const struct job *job =
		job_log_find(job_store_log(gateway->job_store), entry->job);
	const struct run *run = job && entry->item < job->items_nr ?
					job->items[entry->item].run :
					NULL;

	return run && run->output_number != entry->output_number;
}

static void on_save_written(void *ctx, const struct job_blob *locations)
{
	struct batch_save *save = ctx;
	struct job_store *store = save->batch->gateway->job_store;
	guint i;

	/* One more, as an append may end at once. */
	save->pending_appends = 1;
	for (i = 0; locations && i < save->entries->len; i++) {
		struct save_entry *entry = g_ptr_array_index(save->entries, i);

		if (was_discarded(entry))
			continue;
		save->pending_appends++;
		job_store_append(
			store,
			job_log_encode_progress(entry->job, entry->item,
						entry->last_event,
						entry->software, &locations[i]),
			true, on_save_appended, entry);
	}
	if (--save->pending_appends == 0)
		save_end(save);
}

static void save_add(struct batch_save *save, struct run *run, GPtrArray *blobs)
{
	struct save_entry *entry = g_new0(struct save_entry, 1);
	GByteArray *blob = g_byte_array_new();

	entry->save = save;
	entry->job = g_strdup(run->job->id);
	entry->item_id = g_strdup(run->item->id);
	entry->software = run->software;
	entry->item = (size_t)(run->item - run->job->items);
	entry->last_event = (uint64_t)run->last_event;
	entry->output_number = run->output_number;
	g_ptr_array_add(save->entries, entry);
	g_byte_array_append(blob, (const guint8 *)run->output->str,
			    (guint)run->output->len);
	g_ptr_array_add(blobs, blob);
	run->saved_event = run->last_event;
}

bool batch_save_runs(struct batch *batch, int64_t events)
{
	struct batch_save *save = g_new0(struct batch_save, 1);
	GPtrArray *blobs = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	struct list *pos;

	save->batch = batch;
	save->entries = g_ptr_array_new_with_free_func(save_entry_free);
	list_for_each (pos, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if ((run->state == RUN_RUNNING || run->state == RUN_WAITING) &&
		    run->last_event >= run->saved_event + events)
			save_add(save, run, blobs);
	}
	batch->saved_ms = uv_now(batch->gateway->loop);
	if (!blobs->len) {
		g_ptr_array_free(blobs, TRUE);
		batch_save_free(save);
		return false;
	}
	batch->save = save;
	job_bulk_write(batch->gateway->job_bulk, blobs,
		       batch->gateway->identity_hash,
		       uv_now(batch->gateway->loop) + SAVE_TIMEOUT_MS,
		       on_save_written, save);
	return true;
}

void batch_save_free(struct batch_save *save)
{
	if (!save)
		return;
	g_ptr_array_free(save->entries, TRUE);
	g_free(save);
}
