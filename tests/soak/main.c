/*
 * soak BUILD SEED SECONDS: injects random faults, chosen by the seed, and
 * reports violated guarantees.
 */
#include <signal.h>
#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include "soak.h"

#define USAGE 2
/* Time after the last fault within which all jobs must finish, in ms. */
#define FINISH_MS 45000

void soak_violation(struct soak *soak, const char *fmt, ...)
{
	va_list args;

	soak->violations++;
	printf("VIOLATION: ");
	va_start(args, fmt);
	vprintf(fmt, args);
	va_end(args);
	printf("\n");
}

unsigned soak_random(struct soak *soak, unsigned below)
{
	return (unsigned)g_rand_int_range(soak->rand, 0, (gint32)below);
}

static bool never(void *ctx)
{
	(void)ctx;
	return false;
}

static void run_soak(struct soak *soak, uint64_t ms)
{
	soak_clients_start(soak);
	soak_faults_start(soak);
	soak_wait(soak, never, NULL, ms);
	soak_faults_stop(soak);
	soak->ending = true;
	soak_wait(soak, soak_jobs_done, soak, FINISH_MS);
	soak_check_end(soak);
}

static void soak_free(struct soak *soak)
{
	soak_clients_free(soak);
	uv_run(&soak->loop, UV_RUN_DEFAULT);
	uv_loop_close(&soak->loop);
	soak_fleet_free(soak);
	g_ptr_array_free(soak->jobs, TRUE);
	g_ptr_array_free(soak->clients, TRUE);
	g_hash_table_destroy(soak->reported);
	g_rand_free(soak->rand);
	g_free(soak->dir);
}

int main(int argc, char **argv)
{
	struct soak soak = { 0 };
	uint64_t seconds;

	if (argc != 4) {
		fprintf(stderr, "usage: soak BUILD SEED SECONDS\n");
		return USAGE;
	}
	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	uv_loop_init(&soak.loop);
	soak.build = argv[1];
	soak.seed = g_ascii_strtoull(argv[2], NULL, 10);
	seconds = g_ascii_strtoull(argv[3], NULL, 10);
	soak.rand = g_rand_new_with_seed((guint32)soak.seed);
	soak.dir = g_dir_make_tmp("soak-XXXXXX", NULL);
	soak.reported =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	soak.jobs = g_ptr_array_new();
	soak.clients = g_ptr_array_new();
	if (soak_fleet_start(&soak))
		run_soak(&soak, seconds * 1000);
	else
		soak_violation(&soak, "the fleet did not start");
	soak_fleet_stop(&soak);
	printf("seed %" PRIu64 ": %u requests, %u served, %u refused, %u "
	       "broken, %u jobs, %u faults, %u violations; logs in %s\n",
	       soak.seed, soak.requests, soak.served, soak.refused, soak.broken,
	       soak.jobs->len, soak.faults, soak.violations, soak.dir);
	soak_free(&soak);
	return soak.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}
