/*
 * Applies arbitrary bytes as records of a shard's stream: two readers of the
 * same records reach the same state.
 *
 * The input is a sequence of records, each with a length prefix of two bytes.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "core/ledger.h"

#define LEASE_MS 6000
#define ADOPT_MS 1500
#define STEP_MS 10
#define OUTBOX_BYTES (1 << 20)

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static struct ledger *reader_create(const char *name)
{
	struct ledger_options options = {
		.self = name,
		.incarnation = 1,
		.lease_ms = LEASE_MS,
		.adopt_ms = ADOPT_MS,
		.outbox_max_bytes = OUTBOX_BYTES,
	};

	return ledger_create(&options);
}

static void fold_both(struct ledger *a, struct ledger *b, uint64_t offset,
		      const uint8_t *bytes, size_t len)
{
	enum ledger_fold_result first =
		ledger_fold_bytes(a, offset, offset * STEP_MS, bytes, len);
	enum ledger_fold_result second =
		ledger_fold_bytes(b, offset, offset * STEP_MS, bytes, len);

	if (first != second || ledger_epoch(a) != ledger_epoch(b) ||
	    strcmp(ledger_owner(a), ledger_owner(b)) != 0)
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct ledger *a = reader_create("entry-a");
	struct ledger *b = reader_create("entry-b");
	uint64_t offset = 0;

	while (len >= 2) {
		size_t size = (size_t)data[0] << 8 | data[1];

		data += 2;
		len -= 2;
		if (size > len)
			size = len;
		fold_both(a, b, ++offset, data, size);
		data += size;
		len -= size;
	}
	ledger_destroy(a);
	ledger_destroy(b);
	return 0;
}
