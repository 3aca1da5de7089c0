/*
 * Applies arbitrary bytes as records of the job log: the item counts of each
 * job stay consistent.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/job_log.h"
#include "core/job_request.h"

/* Size of the length prefix of a record. */
#define LENGTH_BYTES 2

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void check_job(const struct job *job)
{
	size_t i, open = 0;

	for (i = 0; i < job->items_nr; i++)
		open += job->items[i].state == JOB_ITEM_OPEN;
	if (open != job->open_nr || open + job->results_nr != job->items_nr)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct job_log_watcher watcher = { 0 };
	struct job_log *log = job_log_create(&watcher);
	struct job_request_item item = { 0 };
	struct list *pos;

	while (len >= LENGTH_BYTES) {
		size_t record = (size_t)data[0] << 8 | data[1];

		data += LENGTH_BYTES;
		len -= LENGTH_BYTES;
		if (record > len)
			record = len;
		job_log_apply(log, data, record);
		if (job_request_item_decode(data, record, &item))
			job_request_item_clear(&item);
		memset(&item, 0, sizeof(item));
		data += record;
		len -= record;
	}
	list_for_each (pos, job_log_jobs(log))
		check_job(list_entry(pos, struct job, link));
	job_log_destroy(log);
	return 0;
}
