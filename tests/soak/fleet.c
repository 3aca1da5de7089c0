/*
 * Starts and stops the processes of the soak test.
 */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "soak.h"

#define START_MS 15000
#define POLL_MS 20
#define ARGS_MAX 24

static void on_poll(uv_timer_t *timer)
{
	(void)timer;
}

/* The repeating timer wakes the loop, so that done() is called again. */
bool soak_wait(struct soak *soak, bool (*done)(void *ctx), void *ctx,
	       uint64_t ms)
{
	uint64_t end = uv_now(&soak->loop) + ms;
	uv_timer_t poll;
	bool ok;

	uv_timer_init(&soak->loop, &poll);
	uv_timer_start(&poll, on_poll, POLL_MS, POLL_MS);
	while (!(ok = done(ctx)) && uv_now(&soak->loop) < end)
		uv_run(&soak->loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&poll, NULL);
	uv_run(&soak->loop, UV_RUN_NOWAIT);
	return ok;
}

static void on_process_exit(uv_process_t *handle, int64_t status, int signum)
{
	struct soak_process *process = handle->data;

	if (signum && signum != SIGKILL)
		soak_violation(process->soak, "%s was killed by signal %d",
			       process->name, signum);
	else if (!signum && status)
		soak_violation(process->soak, "%s exited with status %d",
			       process->name, (int)status);
	process->running = false;
	uv_close((uv_handle_t *)handle, NULL);
}

static bool spawn(struct soak *soak, struct soak_process *process, char **args)
{
	uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE } };
	uv_process_options_t options = {
		.file = args[0],
		.args = args,
		.exit_cb = on_process_exit,
		.stdio = stdio,
		.stdio_count = 3,
	};
	int fd, rc;

	process->soak = soak;
	g_free(process->log);
	process->log = g_strdup_printf("%s/%s.%u.log", soak->dir, process->name,
				       process->starts++);
	fd = open(process->log, O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC,
		  0644);
	stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
	stdio[1].data.fd = stdio[2].data.fd = fd;
	rc = uv_spawn(&soak->loop, &process->handle, &options);
	process->handle.data = process;
	process->running = rc == 0;
	/* No fault may be injected into the process before it has started. */
	process->stopped = true;
	close(fd);
	return rc == 0;
}

void soak_signal(struct soak_process *process, int signum)
{
	if (process->running)
		uv_process_kill(&process->handle, signum);
}

struct address_search {
	struct soak_process *process;
	const char *prefix;
};

/* Reads the address that follows the prefix in the output of a process. */
static bool has_address(void *ctx)
{
	struct address_search *address_search = ctx;
	char *text, *at;
	bool found = false;

	if (!g_file_get_contents(address_search->process->log, &text, NULL,
				 NULL))
		return false;
	at = strstr(text, address_search->prefix);
	if (at && strchr(at + strlen(address_search->prefix), '\n')) {
		at += strlen(address_search->prefix);
		address_search->process->stopped = false;
		g_free(address_search->process->address);
		address_search->process->address =
			g_strndup(at, strspn(at, "0123456789"
						 ".:"));
		found = true;
	}
	g_free(text);
	return found;
}

static bool standin_start(struct soak *soak, struct soak_process *process,
			  const char *name, const char *kind,
			  const char *options)
{
	char *program =
		g_strdup_printf("%s/tests/standin/standin", soak->build);
	char *line = g_strdup_printf("%s %s --listen 127.0.0.1:0 %s", program,
				     kind, options);
	char **args = g_strsplit(g_strchomp(line), " ", ARGS_MAX);
	struct address_search address_search = { process, "listens: " };
	bool ok;

	process->name = g_strdup(name);
	ok = spawn(soak, process, args) &&
	     soak_wait(soak, has_address, &address_search, START_MS);
	g_strfreev(args);
	g_free(line);
	g_free(program);
	return ok;
}

static void on_posted(void *ctx, int status, bool whole, const GString *body)
{
	(void)status;
	(void)whole;
	g_free(*(char **)ctx);
	*(char **)ctx = g_strdup(body->str);
}

static bool is_answered(void *ctx)
{
	return *(char **)ctx != NULL;
}

/* Sends a POST to a simulated service; returns the body of the answer. */
static char *post(struct soak *soak, const char *address, const char *path,
		  const char *body)
{
	char *answer = NULL;
	struct soak_call call = {
		.address = address,
		.method = "POST",
		.path = path,
		.id = "post",
		.body = body,
		.body_len = strlen(body),
		.timeout_ms = START_MS,
		.done = on_posted,
		.ctx = &answer,
	};

	soak_call_start(soak, &call);
	soak_wait(soak, is_answered, &answer, START_MS);
	return answer;
}

static void put(struct soak *soak, const char *topic, const char *key,
		const char *value)
{
	char *path = g_strdup_printf("/put?Topic=%s&Key=%s", topic, key);

	g_free(post(soak, soak->store.address, path, value));
	g_free(path);
}

static const char config[] =
	"{\"Version\":1,\"Routes\":["
	"{\"Name\":\"stream\",\"Host\":\"" SOAK_HOST
	"\",\"PathPrefix\":\"/stream/\",\"Kind\":\"stream\",\"TimeoutMs\":6000,"
	"\"ObjectiveMs\":2000,\"Service\":\"model\",\"MaxAttempts\":2,"
	"\"CanResume\":true},"
	"{\"Name\":\"once\",\"Host\":\"" SOAK_HOST
	"\",\"PathPrefix\":\"/once/\",\"Kind\":\"stream\",\"TimeoutMs\":6000,"
	"\"ObjectiveMs\":2000,\"Service\":\"model\",\"MaxAttempts\":1,"
	"\"CanResume\":false},"
	"{\"Name\":\"plain\",\"Host\":\"" SOAK_HOST
	"\",\"PathPrefix\":\"/plain/\",\"Kind\":\"safe\",\"TimeoutMs\":3000,"
	"\"ObjectiveMs\":1000,\"Service\":\"desk\",\"MaxAttempts\":3},"
	"{\"Name\":\"batch\",\"Host\":\"" SOAK_HOST
	"\",\"PathPrefix\":\"/batch/\",\"Kind\":\"batch\",\"TimeoutMs\":9000,"
	"\"ObjectiveMs\":400,\"Service\":\"model\",\"MaxAttempts\":3,"
	"\"CanResume\":true,\"CompletionMs\":18000,\"RetentionS\":600,"
	"\"MaxCount\":0}],"
	"\"Services\":[{\"Name\":\"model\"},{\"Name\":\"desk\"}],"
	"\"Limits\":{\"IdleTimeoutMs\":15000}}";

static void list_server(struct soak *soak, struct soak_process *server,
			const char *service)
{
	char *entry = g_strdup_printf(
		"{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"dc1\","
		"\"Capacity\":4,\"State\":\"ready\",\"Sequence\":1,"
		"\"born\":1}",
		service, server->address);

	put(soak, "keyed.servers", server->address, entry);
	g_free(entry);
}

void soak_gateway_start(struct soak *soak, unsigned i)
{
	struct soak_process *gateway = &soak->gateways[i];
	char *program =
		g_strdup_printf("%s/briarplankd/briarplankd", soak->build);
	char *file = g_strdup_printf("%s/%s.json", soak->dir, gateway->name);
	char *settings = g_strdup_printf(
		"{\"node\":{\"name\":\"%s\",\"ip\":\"127.0.0.1\",\"port\":0,"
		"\"data_centre\":\"dc1\",\"region\":\"r1\"},"
		"\"data_centres\":[{\"name\":\"dc1\",\"region\":\"r1\"}],"
		"\"listen\":{\"front\":\"127.0.0.1:0\",\"ready\":"
		"\"127.0.0.1:0\",\"metrics\":\"127.0.0.1:0\"},"
		"\"store\":{\"address\":\"%s\"},\"stop\":{\"grace_s\":5}}",
		gateway->name, soak->proxy_links[i]);
	char *args[] = { program, "--role", "gateway", "--config", file, NULL };
	struct address_search address_search = { gateway, " front=" };

	g_file_set_contents(file, settings, -1, NULL);
	if (!spawn(soak, gateway, args) ||
	    !soak_wait(soak, has_address, &address_search, START_MS))
		soak_violation(soak, "%s did not start", gateway->name);
	g_free(program);
	g_free(file);
	g_free(settings);
}

static bool proxy_start(struct soak *soak, unsigned i)
{
	char *name = g_strdup_printf("proxy%u", i);
	char *target = g_strdup_printf("/target?name=store&address=%s",
				       soak->store.address);
	bool ok = standin_start(soak, &soak->proxies[i], name, "proxy", "");

	if (ok) {
		soak->proxy_links[i] =
			g_strchomp(post(soak, soak->proxies[i].address,
					"/link?name=store", ""));
		g_free(post(soak, soak->proxies[i].address, target, ""));
	}
	g_free(name);
	g_free(target);
	return ok;
}

bool soak_fleet_start(struct soak *soak)
{
	unsigned i;
	char *options =
		g_strdup_printf("--events %d --event-ms 12", SOAK_EVENTS);
	bool ok = standin_start(soak, &soak->store, "store", "store", "");

	put(soak, "keyed.op", "config", config);
	for (i = 0; ok && i < SOAK_SERVERS; i++) {
		char *name = g_strdup_printf("server%u", i);
		bool plain = i == 0;

		ok = standin_start(soak, &soak->servers[i], name, "worker",
				   plain ? "--plain on --event-ms 5" : options);
		if (ok)
			list_server(soak, &soak->servers[i],
				    plain ? "desk" : "model");
		g_free(name);
	}
	for (i = 0; ok && i < SOAK_GATEWAYS; i++) {
		ok = proxy_start(soak, i);
		soak->gateways[i].name = g_strdup_printf("g%u", i);
		if (ok)
			soak_gateway_start(soak, i);
	}
	g_free(options);
	return ok;
}

static void kill_process(struct soak_process *process)
{
	soak_signal(process, SIGKILL);
}

void soak_fleet_stop(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < SOAK_GATEWAYS; i++) {
		kill_process(&soak->gateways[i]);
		kill_process(&soak->proxies[i]);
	}
	for (i = 0; i < SOAK_SERVERS; i++)
		kill_process(&soak->servers[i]);
	kill_process(&soak->store);
}

static void process_free(struct soak_process *process)
{
	g_free(process->name);
	g_free(process->log);
	g_free(process->address);
}

void soak_fleet_free(struct soak *soak)
{
	unsigned i;

	for (i = 0; i < SOAK_GATEWAYS; i++) {
		process_free(&soak->gateways[i]);
		process_free(&soak->proxies[i]);
		g_free(soak->proxy_links[i]);
	}
	for (i = 0; i < SOAK_SERVERS; i++)
		process_free(&soak->servers[i]);
	process_free(&soak->store);
}
