#include <signal.h>
#include <stdio.h>

#include "soak.h"

/* Bounds of the pause between two faults, and of a fault's length, in ms. */
#define PAUSE_MIN_MS 150
#define PAUSE_MAX_MS 900
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 2500

/* A process that a fault holds, until it goes on or starts again. */
struct hold {
	struct soak *soak;
	struct soak_process *process;
	/* Gateway to start again, or -1. */
	int gateway;
	uv_timer_t timer;
};

static uv_timer_t fault_timer;
static unsigned holds;

static uint64_t fault_ms(struct soak *soak)
{
	return FAULT_MIN_MS + soak_random(soak, FAULT_MAX_MS - FAULT_MIN_MS);
}

static void on_hold_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_hold_over(uv_timer_t *timer)
{
	struct hold *hold = timer->data;

	if (hold->gateway >= 0 && hold->process->running) {
		/* It still stops by itself. */
		uv_timer_start(timer, on_hold_over, FAULT_MIN_MS, 0);
		return;
	}
	if (hold->gateway >= 0) {
		soak_gateway_start(hold->soak, (unsigned)hold->gateway);
	} else {
		soak_signal(hold->process, SIGCONT);
		hold->process->stopped = false;
	}
	holds--;
	uv_close((uv_handle_t *)timer, on_hold_closed);
}

static void hold_process(struct soak *soak, struct soak_process *process,
			 int signum, int gateway)
{
	struct hold *hold;

	if (!process->running || process->stopped)
		return;
	process->stopped = true;
	soak_signal(process, signum);
	hold = g_new0(struct hold, 1);
	hold->soak = soak;
	hold->process = process;
	hold->gateway = gateway;
	holds++;
	uv_timer_init(&soak->loop, &hold->timer);
	hold->timer.data = hold;
	uv_timer_start(&hold->timer, on_hold_over, fault_ms(soak), 0);
}

static void on_set(void *ctx, int status, bool whole, const GString *body)
{
	(void)ctx;
	(void)status;
	(void)whole;
	(void)body;
}

static void set_fault(struct soak *soak, const char *address,
		      const char *format)
{
	char *path = g_strdup_printf(format, (unsigned)fault_ms(soak));
	struct soak_call call = {
		.address = address,
		.method = "POST",
		.path = path,
		.id = "fault",
		.body = "",
		.timeout_ms = 3000,
		.done = on_set,
	};

	soak_call_start(soak, &call);
	g_free(path);
}

static void fault_of_gateway(struct soak *soak, int signum)
{
	int i = (int)soak_random(soak, SOAK_GATEWAYS);

	hold_process(soak, &soak->gateways[i], signum,
		     signum == SIGSTOP ? -1 : i);
}

static void strike(struct soak *soak)
{
	static const char *const store_faults[] = {
		"/fault?kind=outage&ms=%u",
		"/fault?kind=reject&status=503&ms=%u",
		"/fault?kind=reject&status=429&ms=%u",
		"/fault?kind=lose_answer&ms=%u",
		"/fault?kind=half_answer&ms=%u",
		"/fault?kind=garbage&ms=%u",
	};
	static const char *const link_faults[] = {
		"/fault?kind=cut&ms=%u",
		"/fault?kind=reset&ms=%u",
	};
	unsigned nr = soak_random(soak, SOAK_SERVERS);

	soak->faults++;
	switch (soak_random(soak, 8)) {
	case 0:
		fault_of_gateway(soak, SIGKILL);
		break;
	case 1:
		fault_of_gateway(soak, SIGTERM);
		break;
	case 2:
		fault_of_gateway(soak, SIGSTOP);
		break;
	case 3:
		hold_process(soak, &soak->servers[nr], SIGSTOP, -1);
		break;
	case 4:
	case 5:
		if (!soak->servers[nr].stopped)
			set_fault(soak, soak->servers[nr].address,
				  "/fault?kind=kill_streams&ms=%u");
		break;
	case 6:
		set_fault(soak, soak->store.address,
			  store_faults[soak_random(
				  soak, G_N_ELEMENTS(store_faults))]);
		break;
	default:
		set_fault(
			soak,
			soak->proxies[soak_random(soak, SOAK_GATEWAYS)].address,
			link_faults[soak_random(soak,
						G_N_ELEMENTS(link_faults))]);
		break;
	}
}

static void on_fault(uv_timer_t *timer)
{
	struct soak *soak = timer->data;

	strike(soak);
	uv_timer_start(timer, on_fault,
		       PAUSE_MIN_MS +
			       soak_random(soak, PAUSE_MAX_MS - PAUSE_MIN_MS),
		       0);
}

void soak_faults_start(struct soak *soak)
{
	uv_timer_init(&soak->loop, &fault_timer);
	fault_timer.data = soak;
	uv_timer_start(&fault_timer, on_fault, PAUSE_MIN_MS, 0);
}

static bool all_over(void *ctx)
{
	(void)ctx;
	return holds == 0;
}

void soak_faults_stop(struct soak *soak)
{
	uv_timer_stop(&fault_timer);
	if (!soak_wait(soak, all_over, NULL, 20000))
		soak_violation(soak, "a process did not stop in its time");
	uv_close((uv_handle_t *)&fault_timer, NULL);
}
