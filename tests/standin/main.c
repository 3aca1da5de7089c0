/*
 * Runs one simulated service of the platform:
 * standin COMMAND [--listen IP:PORT] [option...]
 */
#include <signal.h>
#include <stdio.h>

#include "common/error.h"
#include "common/log.h"
#include "standin.h"

#define EXIT_USAGE 2

static void on_signal(uv_signal_t *signal, int number)
{
	(void)number;
	uv_stop(signal->loop);
}

static void watch_signals(uv_loop_t *loop, uv_signal_t signals[2])
{
	uv_signal_init(loop, &signals[0]);
	uv_signal_init(loop, &signals[1]);
	uv_signal_start(&signals[0], on_signal, SIGTERM);
	uv_signal_start(&signals[1], on_signal, SIGINT);
}

static void close_signals(uv_loop_t *loop, uv_signal_t signals[2])
{
	uv_close((uv_handle_t *)&signals[0], NULL);
	uv_close((uv_handle_t *)&signals[1], NULL);
	uv_run(loop, UV_RUN_NOWAIT);
}

int main(int argc, char **argv)
{
	uv_loop_t loop;
	uv_signal_t signals[2];
	struct standin *standin;

	if (argc < 2) {
		fprintf(stderr,
			"usage: standin crowd|engine|log|plain|proxy|raw|store|"
			"vms|weights|worker\n");
		return EXIT_USAGE;
	}
	log_open(LOG_LEVEL_WARN);
	uv_loop_init(&loop);
	standin = standin_start(&loop, argc - 1, argv + 1);
	if (!standin) {
		fprintf(stderr,
			"standin: invalid command, option or address: %s\n",
			error_last());
		return EXIT_USAGE;
	}
	watch_signals(&loop, signals);
	printf("%s listens: %s\n", argv[1], standin_address(standin));
	fflush(stdout);
	uv_run(&loop, UV_RUN_DEFAULT);
	standin_stop(standin);
	close_signals(&loop, signals);
	log_close();
	return 0;
}
