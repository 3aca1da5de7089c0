/*
 * Decodes arbitrary bytes as a configuration, a server and a job of the
 * platform: each decodes or sets an error message.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "common/error.h"
#include "platform/codec.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void check_message(const void *decoded)
{
	if (!decoded && !*error_last())
		abort();
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *text = (const char *)data;
	struct route_table *table;
	struct job_request *job;
	struct server_info facts = { 0 };
	void *hold;

	error_set("%s", "");
	table = platform_config_decode(text, len);
	check_message(table);
	route_table_destroy(table);
	error_set("%s", "");
	job = platform_job_decode(text, len);
	check_message(job);
	job_request_free(job);
	error_set("%s", "");
	if (platform_server_decode("id", text, len, &facts, &hold))
		platform_server_free(hold);
	else
		check_message(NULL);
	return 0;
}
