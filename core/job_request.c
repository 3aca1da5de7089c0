#include "core/job_request.h"
#include "joblog.pb-c.h"

void job_request_item_clear(struct job_request_item *item)
{
	size_t i;

	for (i = 0; i < item->fields_nr; i++) {
		g_free(item->fields[i].name);
		g_free(item->fields[i].value);
	}
	g_free(item->fields);
	g_free(item->id);
	g_free(item->path);
	g_free(item->body);
}

void job_request_free(struct job_request *request)
{
	size_t i;

	if (!request)
		return;
	for (i = 0; i < request->items_nr; i++)
		job_request_item_clear(&request->items[i]);
	g_free(request->items);
	g_free(request);
}

GByteArray *job_request_item_encode(const struct job_request_item *item)
{
	JobItemBody record = JOB_ITEM_BODY__INIT;
	JobHeader *headers = g_new0(JobHeader, item->fields_nr);
	JobHeader **pointers = g_new0(JobHeader *, item->fields_nr);
	GByteArray *out;
	size_t i, len;

	for (i = 0; i < item->fields_nr; i++) {
		job_header__init(&headers[i]);
		headers[i].name = item->fields[i].name;
		headers[i].value = item->fields[i].value;
		pointers[i] = &headers[i];
	}
	record.path = item->path;
	record.headers = pointers;
	record.n_headers = item->fields_nr;
	record.body.data = item->body;
	record.body.len = item->body_len;
	len = job_item_body__get_packed_size(&record);
	out = g_byte_array_sized_new((guint)len);
	g_byte_array_set_size(out, (guint)len);
	job_item_body__pack(&record, out->data);
	g_free(headers);
	g_free(pointers);
	return out;
}

bool job_request_item_decode(const void *data, size_t len,
			     struct job_request_item *item)
{
	JobItemBody *record = job_item_body__unpack(NULL, len, data);
	size_t i;

	if (!record)
		return false;
	item->path = g_strdup(record->path);
	item->fields_nr = record->n_headers;
	item->fields = g_new0(struct job_request_field, record->n_headers);
	for (i = 0; i < record->n_headers; i++) {
		item->fields[i].name = g_strdup(record->headers[i]->name);
		item->fields[i].value = g_strdup(record->headers[i]->value);
	}
	item->body = g_memdup2(record->body.data, record->body.len);
	item->body_len = record->body.len;
	job_item_body__free_unpacked(record, NULL);
	return true;
}
