/*
 * Unpacks arbitrary bytes as a message between nodes: a message that unpacks can
 * be packed again.
 */
#include <stdlib.h>

#include "envelope.pb-c.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	Briarplank__Envelope *env =
		briarplank__envelope__unpack(NULL, len, data);
	uint8_t *packed;
	size_t size;

	if (!env)
		return 0;
	size = briarplank__envelope__get_packed_size(env);
	packed = malloc(size + 1);
	if (briarplank__envelope__pack(env, packed) != size)
		abort();
	free(packed);
	briarplank__envelope__free_unpacked(env, NULL);
	return 0;
}
