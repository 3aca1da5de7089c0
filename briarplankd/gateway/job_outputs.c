#include "job_calls_private.h"

/* Size limit of the output cache, in bytes, with its entries. Most outputs are read soon
 * after they were written, by a client that polls. */
#define CACHE_BYTES 2097152

static uint64_t cache_key(const struct job_blob *location)
{
	return location->offset << 10 | (uint64_t)location->partition;
}

/* An output without bytes takes memory too. */
static size_t output_size(const struct job_output *output)
{
	return sizeof(*output) + output->len;
}

static void output_free(gpointer data)
{
	struct job_output *output = data;

	g_free(output->data);
	g_free(output);
}

void job_outputs_put(struct job_calls *calls, const struct job_blob *location,
		     const char *data, size_t len)
{
	struct job_output *output = g_new0(struct job_output, 1);

	output->key = cache_key(location);
	if (g_hash_table_contains(calls->cache, &output->key)) {
		g_free(output);
		return;
	}
	output->data = g_memdup2(data, len);
	output->len = len;
	g_hash_table_insert(calls->cache, &output->key, output);
	g_queue_push_tail(&calls->cache_order, output);
	calls->cache_bytes += output_size(output);
	while (calls->cache_bytes > CACHE_BYTES) {
		struct job_output *oldest =
			g_queue_pop_head(&calls->cache_order);

		calls->cache_bytes -= output_size(oldest);
		g_hash_table_remove(calls->cache, &oldest->key);
	}
}

const struct job_output *job_outputs_get(struct job_calls *calls,
					 const struct job_blob *location)
{
	uint64_t key = cache_key(location);

	return g_hash_table_lookup(calls->cache, &key);
}

void job_outputs_init(struct job_calls *calls)
{
	calls->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     output_free);
	g_queue_init(&calls->cache_order);
}

void job_outputs_clear(struct job_calls *calls)
{
	g_queue_clear(&calls->cache_order);
	g_hash_table_destroy(calls->cache);
}
