#include <string.h>

#include "core/job_log.h"
#include "joblog.pb-c.h"

/* Time by which clocks of VMs may be wrong, in ms. */
#define CLOCK_TOLERANCE_MS 10000

struct job_log {
	struct job_log_watcher watcher;
	struct list jobs;
	/* Maps a job id to its struct job *. */
	GHashTable *by_id;
	/* Maps a route and an account to the number of waiting tokens
	 * (uint64_t *); see waiting_key(). */
	GHashTable *waiting;
};

static void job_free(struct job *job)
{
	size_t i;

	for (i = 0; i < job->items_nr; i++)
		g_free(job->items[i].id);
	g_free(job->items);
	g_free(job->results);
	g_free(job->id);
	g_free(job->host);
	g_free(job->path);
	g_free(job->route);
	g_free(job->account);
	g_free(job->node);
	g_free(job);
}

struct job_log *job_log_create(const struct job_log_watcher *watcher)
{
	struct job_log *log = g_new0(struct job_log, 1);

	log->watcher = *watcher;
	list_init(&log->jobs);
	log->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	log->waiting =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return log;
}

static void job_remove(struct job_log *log, struct job *job)
{
	if (log->watcher.on_forget)
		log->watcher.on_forget(log->watcher.ctx, job);
	list_remove(&job->link);
	g_hash_table_remove(log->by_id, job->id);
	job_free(job);
}

void job_log_destroy(struct job_log *log)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &log->jobs)
		job_remove(log, list_entry(pos, struct job, link));
	g_hash_table_destroy(log->by_id);
	g_hash_table_destroy(log->waiting);
	g_free(log);
}

struct job *job_log_find(struct job_log *log, const char *id)
{
	return g_hash_table_lookup(log->by_id, id);
}

struct list *job_log_jobs(struct job_log *log)
{
	return &log->jobs;
}

/* Neither name can hold a line break. */
static char *waiting_key(const char *route, const char *account)
{
	return g_strdup_printf("%s\n%s", route, account ? account : "");
}

static uint64_t *waiting_of(struct job_log *log, const char *route,
			    const char *account)
{
	char *key = waiting_key(route, account);
	uint64_t *waiting = g_hash_table_lookup(log->waiting, key);

	if (waiting) {
		g_free(key);
		return waiting;
	}
	waiting = g_new0(uint64_t, 1);
	g_hash_table_insert(log->waiting, key, waiting);
	return waiting;
}

uint64_t job_log_waiting_tokens(const struct job_log *log, const char *route,
				const char *account)
{
	char *key = waiting_key(route, account);
	const uint64_t *waiting = g_hash_table_lookup(log->waiting, key);

	g_free(key);
	return waiting ? *waiting : 0;
}

size_t job_log_open_items(const struct job_log *log)
{
	size_t nr = 0;
	struct list *pos;

	list_for_each (pos, &log->jobs) {
		const struct job *job = list_entry(pos, struct job, link);

		nr += job->ended ? 0 : job->open_nr;
	}
	return nr;
}

static struct job_blob blob_of(const JobBlob *blob)
{
	struct job_blob result = { 0 };

	if (!blob)
		return result;
	result.partition = (int)blob->partition;
	result.offset = blob->offset;
	result.records = blob->records;
	result.bytes = blob->bytes;
	return result;
}

static struct job *job_create(const JobAccepted *record)
{
	struct job *job = g_new0(struct job, 1);
	size_t i;

	job->id = g_strdup(record->id);
	job->host = g_strdup(record->host);
	job->path = g_strdup(record->path);
	job->route = g_strdup(record->route);
	job->account = *record->account ? g_strdup(record->account) : NULL;
	job->node = g_strdup(record->node);
	job->accepted_ms = record->accepted_ms;
	job->due_ms = record->accepted_ms + record->completion_ms;
	job->expires_ms = record->accepted_ms + record->retention_ms;
	job->attempts_max = record->attempts_max;
	job->items_nr = record->n_items;
	job->open_nr = record->n_items;
	job->items = g_new0(struct job_item, record->n_items);
	job->results = g_new0(uint32_t, record->n_items);
	for (i = 0; i < record->n_items; i++) {
		job->items[i].id = g_strdup(record->items[i]->id);
		job->items[i].tokens = record->items[i]->tokens;
		job->items[i].saved_event = -1;
		job->items[i].body = blob_of(record->items[i]->body);
	}
	return job;
}

static void notify_submission(struct job_log *log, uint64_t submission,
			      enum job_submission_outcome outcome,
			      struct job *job)
{
	if (log->watcher.on_submission)
		log->watcher.on_submission(log->watcher.ctx, submission,
					   outcome, job);
}

static void apply_accepted(struct job_log *log, const JobAccepted *record)
{
	struct job *job = job_log_find(log, record->id);
	uint64_t *waiting = waiting_of(log, record->route, record->account);
	uint64_t tokens = 0;
	size_t i;

	if (job) {
		notify_submission(log, record->submission, JOB_REPEATED, job);
		return;
	}
	for (i = 0; i < record->n_items; i++)
		tokens += record->items[i]->tokens;
	if (record->waiting_tokens_max &&
	    *waiting + tokens > record->waiting_tokens_max) {
		notify_submission(log, record->submission, JOB_OVER_LIMIT,
				  NULL);
		return;
	}
	*waiting += tokens;
	job = job_create(record);
	list_append(&log->jobs, &job->link);
	g_hash_table_insert(log->by_id, job->id, job);
	notify_submission(log, record->submission, JOB_ACCEPTED, job);
}

/* Ends an open item; later results of the same item are ignored. */
static void item_end(struct job_log *log, struct job *job, size_t index,
		     enum job_item_state state, const JobBlob *output)
{
	struct job_item *item = &job->items[index];

	item->state = state;
	item->output = blob_of(output);
	job->results[job->results_nr++] = (uint32_t)index;
	job->open_nr--;
	if (!job->ended)
		*waiting_of(log, job->route, job->account) -= item->tokens;
	if (log->watcher.on_result)
		log->watcher.on_result(log->watcher.ctx, job, item);
}

static struct job_item *open_item(struct job_log *log, const char *id,
				  size_t index, struct job **job)
{
	*job = job_log_find(log, id);
	if (!*job || index >= (*job)->items_nr ||
	    (*job)->items[index].state != JOB_ITEM_OPEN)
		return NULL;
	return &(*job)->items[index];
}

static void apply_result(struct job_log *log, const JobResult *record)
{
	struct job *job;

	if (open_item(log, record->job, record->item, &job))
		item_end(log, job, record->item,
			 record->dead ? JOB_ITEM_DEAD : JOB_ITEM_DONE,
			 record->output);
}

static void apply_failure(struct job_log *log, const JobFailure *record)
{
	struct job *job;
	struct job_item *item = open_item(log, record->job, record->item, &job);

	if (!item)
		return;
	/* A failed item starts over, so its saved output is discarded. */
	item->saved_event = -1;
	if (!record->status)
		return;
	item->failures++;
	if (item->failures >= job->attempts_max)
		item_end(log, job, record->item, JOB_ITEM_DEAD, NULL);
}

static void apply_progress(struct job_log *log, const JobProgress *record)
{
	struct job *job;
	struct job_item *item = open_item(log, record->job, record->item, &job);

	/* An item that starts over at another version has less at first. */
	if (!item || (record->software == item->saved_software &&
		      (int64_t)record->last_event <= item->saved_event))
		return;
	item->saved_event = (int64_t)record->last_event;
	item->saved = blob_of(record->output);
	item->saved_software = record->software;
}

static void apply_end(struct job_log *log, const JobEnd *record)
{
	struct job *job = job_log_find(log, record->job);
	uint64_t *waiting;
	size_t i;

	if (!job || job->ended)
		return;
	waiting = waiting_of(log, job->route, job->account);
	for (i = 0; i < job->items_nr; i++) {
		if (job->items[i].state == JOB_ITEM_OPEN)
			*waiting -= job->items[i].tokens;
	}
	job->ended = true;
	if (log->watcher.on_end)
		log->watcher.on_end(log->watcher.ctx, job);
}

bool job_log_apply(struct job_log *log, const void *data, size_t len)
{
	JobLogRecord *record = job_log_record__unpack(NULL, len, data);

	if (!record)
		return false;
	switch (record->record_case) {
	case JOB_LOG_RECORD__RECORD_ACCEPTED:
		apply_accepted(log, record->accepted);
		break;
	case JOB_LOG_RECORD__RECORD_RESULT:
		apply_result(log, record->result);
		break;
	case JOB_LOG_RECORD__RECORD_FAILURE:
		apply_failure(log, record->failure);
		break;
	case JOB_LOG_RECORD__RECORD_PROGRESS:
		apply_progress(log, record->progress);
		break;
	case JOB_LOG_RECORD__RECORD_END:
		apply_end(log, record->end);
		break;
	case JOB_LOG_RECORD__RECORD_NODE:
		if (log->watcher.on_node)
			log->watcher.on_node(log->watcher.ctx,
					     record->node->name,
					     record->node->address,
					     record->node->data_centre);
		break;
	default:
		/* Ignore records of types that only later versions know. */
		break;
	}
	job_log_record__free_unpacked(record, NULL);
	return true;
}

bool job_may_be_given_up(const struct job *job, uint64_t wall_ms)
{
	return wall_ms >= job->expires_ms + CLOCK_TOLERANCE_MS;
}

void job_log_expire(struct job_log *log, uint64_t accepted_before_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &log->jobs) {
		struct job *job = list_entry(pos, struct job, link);

		if (job->accepted_ms < accepted_before_ms &&
		    (!job->open_nr || job->ended))
			job_remove(log, job);
	}
}

static GByteArray *encode(const JobLogRecord *record)
{
	size_t len = job_log_record__get_packed_size(record);
	GByteArray *out = g_byte_array_sized_new((guint)len);

	g_byte_array_set_size(out, (guint)len);
	job_log_record__pack(record, out->data);
	return out;
}

static void blob_encode(const struct job_blob *blob, JobBlob *out)
{
	job_blob__init(out);
	out->partition = (uint32_t)blob->partition;
	out->offset = blob->offset;
	out->records = blob->records;
	out->bytes = blob->bytes;
}

GByteArray *job_log_encode_submission(const struct job_submission *submission)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobAccepted accepted = JOB_ACCEPTED__INIT;
	JobItem *items = g_new0(JobItem, submission->items_nr);
	JobItem **pointers = g_new0(JobItem *, submission->items_nr);
	JobBlob *bodies = g_new0(JobBlob, submission->items_nr);
	GByteArray *out;
	size_t i;

	for (i = 0; i < submission->items_nr; i++) {
		job_item__init(&items[i]);
		blob_encode(&submission->items[i].body, &bodies[i]);
		items[i].id = (char *)submission->items[i].id;
		items[i].tokens = submission->items[i].tokens;
		items[i].body = &bodies[i];
		pointers[i] = &items[i];
	}
	accepted.id = (char *)submission->id;
	accepted.submission = submission->submission;
	accepted.host = (char *)submission->host;
	accepted.path = (char *)submission->path;
	accepted.route = (char *)submission->route;
	accepted.account =
		(char *)(submission->account ? submission->account : "");
	accepted.node = (char *)submission->node;
	accepted.accepted_ms = submission->accepted_ms;
	accepted.completion_ms = submission->completion_ms;
	accepted.retention_ms = submission->retention_ms;
	accepted.attempts_max = submission->attempts_max;
	accepted.waiting_tokens_max = submission->waiting_tokens_max;
	accepted.items = pointers;
	accepted.n_items = submission->items_nr;
	record.record_case = JOB_LOG_RECORD__RECORD_ACCEPTED;
	record.accepted = &accepted;
	out = encode(&record);
	g_free(items);
	g_free(pointers);
	g_free(bodies);
	return out;
}

GByteArray *job_log_encode_result(const char *job, size_t item,
				  const struct job_blob *output,
				  const char *dead_reason)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobResult result = JOB_RESULT__INIT;
	JobBlob blob;

	result.job = (char *)job;
	result.item = (uint32_t)item;
	result.dead = !output;
	if (dead_reason)
		result.reason = (char *)dead_reason;
	if (output) {
		blob_encode(output, &blob);
		result.output = &blob;
	}
	record.record_case = JOB_LOG_RECORD__RECORD_RESULT;
	record.result = &result;
	return encode(&record);
}

GByteArray *job_log_encode_failure(const char *job, size_t item, int status)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobFailure failure = JOB_FAILURE__INIT;

	failure.job = (char *)job;
	failure.item = (uint32_t)item;
	failure.status = (uint32_t)status;
	record.record_case = JOB_LOG_RECORD__RECORD_FAILURE;
	record.failure = &failure;
	return encode(&record);
}

GByteArray *job_log_encode_discard(const char *job, size_t item)
{
	return job_log_encode_failure(job, item, 0);
}

GByteArray *job_log_encode_progress(const char *job, size_t item,
				    uint64_t last_event, uint64_t software,
				    const struct job_blob *output)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobProgress progress = JOB_PROGRESS__INIT;
	JobBlob blob;

	blob_encode(output, &blob);
	progress.job = (char *)job;
	progress.item = (uint32_t)item;
	progress.last_event = last_event;
	progress.software = software;
	progress.output = &blob;
	record.record_case = JOB_LOG_RECORD__RECORD_PROGRESS;
	record.progress = &progress;
	return encode(&record);
}

GByteArray *job_log_encode_end(const char *job)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobEnd end = JOB_END__INIT;

	end.job = (char *)job;
	record.record_case = JOB_LOG_RECORD__RECORD_END;
	record.end = &end;
	return encode(&record);
}

GByteArray *job_log_encode_node(const char *name, const char *address,
				const char *data_centre)
{
	JobLogRecord record = JOB_LOG_RECORD__INIT;
	JobNode node = JOB_NODE__INIT;

	node.name = (char *)name;
	node.address = (char *)address;
	node.data_centre = (char *)data_centre;
	record.record_case = JOB_LOG_RECORD__RECORD_NODE;
	record.node = &node;
	return encode(&record);
}
