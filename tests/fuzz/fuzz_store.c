/*
 * Parses arbitrary bytes as the answer to a read of the platform's store: records
 * lie within the body, and no offset is skipped.
 */
#include <stdint.h>
#include <stdlib.h>

#include "platform/store.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void check_answer(const char *body, size_t len, bool keyed)
{
	struct store_read_result result = { .next_offset = 7 };
	GArray *records =
		g_array_new(FALSE, FALSE, sizeof(struct store_record));
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	guint i;

	store_parse_records(body, len, keyed, &result, records, keys);
	for (i = 0; i < records->len; i++) {
		const struct store_record *record =
			&g_array_index(records, struct store_record, i);

		if (record->data < body ||
		    record->data + record->len > body + len ||
		    record->offset >= result.next_offset)
			abort();
	}
	if (!keyed && result.next_offset != 7 + records->len)
		abort();
	g_ptr_array_free(keys, TRUE);
	g_array_free(records, TRUE);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	check_answer((const char *)data, len, false);
	check_answer((const char *)data, len, true);
	return 0;
}
