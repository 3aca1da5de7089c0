/*
 * Parses arbitrary bytes as a submission: it parses or sets an error message.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "core/submission.h"

#define STEP_LINES 3
#define CHUNK_BYTES 256

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct submission_options options = {
		.writer = "entry-1",
		.writer_incarnation = 1,
		.caller = "ann",
		.name = "night",
		.query = "service=s&path=p",
		.chunk_bytes = CHUNK_BYTES,
		.body = (const char *)data,
		.body_len = len,
	};
	struct submission_parser *parser = submission_parser_create(&options);
	enum submission_status status;

	error_set("%s", "");
	do {
		status = submission_parser_step(parser, STEP_LINES);
	} while (status == SUBMISSION_MORE);
	if (status != SUBMISSION_OK && !*error_last())
		abort();
	submission_parser_destroy(parser);
	return 0;
}
