/*
 * Tests of the rate limits of callers, and of their fair shares while a service
 * is full.
 */
#include <inttypes.h>
#include <string.h>

#include "core/limiter.h"
#include "script.h"

#define US_PER_MS 1000

static void *state_create(void)
{
	return limiter_create();
}

static void state_destroy(void *state)
{
	limiter_destroy(state);
}

/* "admit CALLER rate=N burst=N at=MS nr=N" */
static void admit(struct limiter *limiter, int argc, char **argv, GString *out)
{
	struct limiter_rate rate = {
		.requests_per_s = script_arg_int(argc, argv, "rate", 10),
		.burst = script_arg_int(argc, argv, "burst", 3),
	};
	uint64_t now_us = script_arg_int(argc, argv, "at", 0) * US_PER_MS;
	int64_t nr = script_arg_int(argc, argv, "nr", 1);
	uint64_t retry_after_us = 0;
	unsigned admitted = 0;

	while (nr--)
		admitted += limiter_admit(limiter, argv[1], &rate, now_us,
					  &retry_after_us);
	g_string_append_printf(out, "%u", admitted);
	if (retry_after_us)
		g_string_append_printf(out, ", again in %" PRIu64 " us",
				       retry_after_us);
	g_string_append(out, "\n");
}

static void command(void *state, int argc, char **argv, GString *out)
{
	uint64_t now_ms = script_arg_int(argc, argv, "at", 0);
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	if (!strcmp(argv[0], "admit")) {
		admit(state, argc, argv, out);
	} else if (!strcmp(argv[0], "start")) {
		while (nr--)
			limiter_started(state, "chat", argv[1]);
	} else if (!strcmp(argv[0], "end")) {
		while (nr--)
			limiter_ended(state, "chat", argv[1]);
	} else if (!strcmp(argv[0], "full")) {
		limiter_set_full(state, "chat", now_ms);
	} else if (!strcmp(argv[0], "fair")) {
		g_string_append(out, limiter_within_share(state, "chat",
							  argv[1], now_ms) ?
					     "yes\n" :
					     "no\n");
	} else if (!strcmp(argv[0], "sweep")) {
		limiter_sweep(state, now_ms * US_PER_MS);
		g_string_append_printf(out, "%u callers\n",
				       limiter_callers_nr(state));
	}
}

static const struct script_driver driver = {
	.name = "limiter",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
