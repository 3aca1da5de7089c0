/*
 * Injects faults at random times: signals to processes, and faults of the
 * store, the servers and the proxies.
 */
#include <signal.h>
#include <stdio.h>

#include "soak.h"

/* Bounds of the pause between two faults and of a fault's duration, in ms. */
#define PAUSE_MIN_MS 150
#define PAUSE_MAX_MS 900
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 2500

/* A process that was sent a signal and is not yet continued or restarted. */
struct outage {
	struct soak *soak;
	struct soak_process *process;
	/* Index of the gateway to restart; -1 if SIGCONT ends the outage. */
	int gateway;
	uv_timer_t timer;
};

static uv_timer_t fault_timer;
static unsigned outages;

static uint64_t fault_ms(struct soak *soak)
{
	return FAULT_MIN_MS + soak_random(soak, FAULT_MAX_MS - FAULT_MIN_MS);
}

static void on_outage_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_outage_end(uv_timer_t *timer)
{
	struct outage *outage = timer->data;

	if (outage->gateway >= 0 && outage->process->running) {
		/* The gateway is still shutting down, so try again later. */
		uv_timer_start(timer, on_outage_end, FAULT_MIN_MS, 0);
		return;
	}
	if (outage->gateway >= 0) {
		soak_gateway_start(outage->soak, (unsigned)outage->gateway);
	} else {
		soak_signal(outage->process, SIGCONT);
		outage->process->stopped = false;
	}
	outages--;
	uv_close((uv_handle_t *)timer, on_outage_closed);
}

static void start_outage(struct soak *soak, struct soak_process *process,
			 int signum, int gateway)
{
	struct outage *outage;

	if (!process->running || process->stopped)
		return;
	process->stopped = true;
	soak_signal(process, signum);
	outage = g_new0(struct outage, 1);
	outage->soak = soak;
	outage->process = process;
	outage->gateway = gateway;
	outages++;
	uv_timer_init(&soak->loop, &outage->timer);
	outage->timer.data = outage;
	uv_timer_start(&outage->timer, on_outage_end, fault_ms(soak), 0);
}

static void on_fault_set(void *ctx, int status, bool whole, const GString *body)
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
		.done = on_fault_set,
	};

	soak_call_start(soak, &call);
	g_free(path);
}

static void signal_gateway(struct soak *soak, int signum)
{
	int i = (int)soak_random(soak, SOAK_GATEWAYS);

	start_outage(soak, &soak->gateways[i], signum,
		     signum == SIGSTOP ? -1 : i);
}

static void inject_fault(struct soak *soak)
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
		signal_gateway(soak, SIGKILL);
		break;
	case 1:
		signal_gateway(soak, SIGTERM);
		break;
	case 2:
		signal_gateway(soak, SIGSTOP);
		break;
	case 3:
		start_outage(soak, &soak->servers[nr], SIGSTOP, -1);
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

	inject_fault(soak);
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

static bool no_outages(void *ctx)
{
	(void)ctx;
	return outages == 0;
}

void soak_faults_stop(struct soak *soak)
{
	uv_timer_stop(&fault_timer);
	if (!soak_wait(soak, no_outages, NULL, 20000))
		soak_violation(soak, "a process did not stop in time");
	uv_close((uv_handle_t *)&fault_timer, NULL);
}
