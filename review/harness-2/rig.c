#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "http.h"

/* Time after which a case ends as not run, in s. */
#define TIME_MAX_S 118
#define PROCESSES_MAX 1024
/* Range of the ports of gateways and workers; a case takes about 30. */
#define PORT_MIN 10000
#define PORT_MAX 30000
#define PORT_STEP 97
#ifndef RIG_WORKER
#define RIG_WORKER "build-review-2/worker"
#endif
#define RUNS_MAX 200000
#define READY_MAX_MS 15000
#define ANSWER_HEAD_MAX 32768

bool rig_trouble;

static struct timespec began;
static FILE *record;
static char folder[64];
static pid_t processes[PROCESSES_MAX];
static int processes_nr;
static pthread_mutex_t processes_lock = PTHREAD_MUTEX_INITIALIZER;
static struct rig_run *runs;
static size_t runs_nr;
static pthread_mutex_t runs_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t rig_now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)((now.tv_sec - began.tv_sec) * 1000 +
			  (now.tv_nsec - began.tv_nsec) / 1000000);
}

uint64_t rig_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void rig_sleep_ms(uint64_t ms)
{
	struct timespec time = { .tv_sec = (time_t)(ms / 1000),
				 .tv_nsec = (long)(ms % 1000) * 1000000 };

	while (nanosleep(&time, &time) && errno == EINTR)
		;
}

static void vrecord(const char *fmt, va_list args)
{
	flockfile(record);
	fprintf(record, "%7.3f ", (double)rig_now_ms() / 1000);
	vfprintf(record, fmt, args);
	fputc('\n', record);
	fflush(record);
	funlockfile(record);
}

void rig_record(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vrecord(fmt, args);
	va_end(args);
}

void rig_end(enum rig_verdict verdict)
{
	static const char *const texts[] = {
		[RIG_HELD] = "the rule held",
		[RIG_BROKEN] = "the rule was broken",
		[RIG_NOT_RUN] = "the case did not run",
	};
	char path[128];
	size_t at;
	int i;

	for (at = 0; at < runs_nr; at++)
		fprintf(record, "%7.3f %s %s %s\n",
			(double)runs[at].at_ms / 1000, runs[at].worker,
			runs[at].what, runs[at].id);
	rig_record("%s", texts[verdict]);
	printf("%s\n", texts[verdict]);
	pthread_mutex_lock(&processes_lock);
	for (i = 0; i < processes_nr; i++) {
		kill(processes[i], SIGCONT);
		kill(processes[i], SIGKILL);
	}
	for (i = 0; i < processes_nr; i++)
		waitpid(processes[i], NULL, 0);
	/* The settings and logs of the gateways. */
	if (!getenv("KEEP")) {
		snprintf(path, sizeof(path), "rm -rf %s", folder);
		if (system(path))
			fprintf(stderr, "%s remains\n", folder);
	}
	fflush(NULL);
	_exit((int)verdict);
}

void rig_fail(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vrecord(fmt, args);
	va_end(args);
	rig_end(RIG_NOT_RUN);
}

static void *watch_time(void *arg)
{
	(void)arg;
	rig_sleep_ms(TIME_MAX_S * 1000);
	rig_fail("the time is over");
	return NULL;
}

void rig_begin(const char *case_folder)
{
	const char *trouble = getenv("TROUBLE"), *tmp = getenv("TMPDIR");
	char path[512];
	pthread_t thread;

	clock_gettime(CLOCK_MONOTONIC, &began);
	signal(SIGPIPE, SIG_IGN);
	rig_trouble = !trouble || strcmp(trouble, "0") != 0;
	snprintf(path, sizeof(path), "%s/record.txt", case_folder);
	record = fopen(path, "w");
	if (!record) {
		perror(path);
		_exit(RIG_NOT_RUN);
	}
	snprintf(folder, sizeof(folder), "%.40s/review-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!mkdtemp(folder))
		rig_fail("no temporary folder");
	runs = calloc(RUNS_MAX, sizeof(*runs));
	pthread_create(&thread, NULL, watch_time, NULL);
	rig_record("trouble=%d folder=%s", rig_trouble,
		   strrchr(folder, '/') + 1);
}

static void add_process(pid_t pid)
{
	pthread_mutex_lock(&processes_lock);
	if (processes_nr < PROCESSES_MAX)
		processes[processes_nr++] = pid;
	pthread_mutex_unlock(&processes_lock);
}

static void forget_process(pid_t pid)
{
	int i;

	pthread_mutex_lock(&processes_lock);
	for (i = 0; i < processes_nr; i++) {
		if (processes[i] == pid)
			processes[i] = processes[--processes_nr];
	}
	pthread_mutex_unlock(&processes_lock);
}

/* Starts a program whose output goes to a descriptor. */
static pid_t start(char *const *argv, char *const *env, int output)
{
	pid_t pid = fork();

	if (pid < 0)
		rig_fail("no further process: %s", strerror(errno));
	if (!pid) {
		/* It ends with the case, whatever ends that. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(output, STDOUT_FILENO);
		dup2(output, STDERR_FILENO);
		execve(argv[0], argv, env);
		_exit(127);
	}
	add_process(pid);
	return pid;
}

/* Returns a free port below those that the system gives out by itself, so that nothing takes
 * it before the process that it is for. */
static int free_port(void)
{
	static int next;
	int tries, listener;

	if (!next)
		next = PORT_MIN + getpid() * PORT_STEP % (PORT_MAX - PORT_MIN);
	for (tries = 0; tries < PORT_MAX - PORT_MIN; tries++) {
		int port = next++;

		if (next >= PORT_MAX)
			next = PORT_MIN;
		if (http_listen(port, &listener) < 0)
			continue;
		close(listener);
		return port;
	}
	rig_fail("no free port");
}

/* Returns a port after which the next one is free, too. */
static int free_ports(void)
{
	int port = free_port(), after;

	while ((after = free_port()) != port + 1)
		port = after;
	return port;
}

/* The settings as the platform fills them in, see deploy/gateway.json. */
void rig_gateway_init(struct rig_gateway *gateway, const char *name)
{
	char path[128];
	FILE *file;

	memset(gateway, 0, sizeof(*gateway));
	snprintf(gateway->name, sizeof(gateway->name), "%s", name);
	gateway->front = free_port();
	gateway->ready = free_port();
	snprintf(path, sizeof(path), "%s/%s.json", folder, name);
	file = fopen(path, "w");
	if (!file)
		rig_fail("can't write %s", path);
	fprintf(file,
		"{\n"
		"\"node\": { \"name\": \"%s\", \"ip\": \"" HTTP_IP "\","
		" \"port\": %d, \"data_centre\": \"akl-a\","
		" \"region\": \"akl\", \"cpu_share\": 0.5,"
		" \"memory_mb\": %d, \"descriptors\": 8200 },\n"
		"\"data_centres\": [ { \"name\": \"akl-a\","
		" \"region\": \"akl\" } ],\n"
		"\"listen\": { \"front\": \"" HTTP_IP ":%d\","
		" \"ready\": \"" HTTP_IP ":%d\","
		" \"metrics\": \"" HTTP_IP ":%d\" },\n"
		"\"store\": { \"address\": \"" HTTP_IP ":%d\","
		" \"partitions\": 12, \"record_bytes\": %d,"
		" \"call_bytes\": %d, \"reads_per_s\": %d,"
		" \"retention_s\": 300 },\n"
		"\"stop\": { \"grace_s\": 8 },\n"
		"\"jobs\": { \"results_kept_s\": 120 }\n"
		"}\n",
		name, free_ports(), RIG_MEMORY_MB, gateway->front,
		gateway->ready, free_port(), rig_store_listen(),
		RIG_RECORD_BYTES, RIG_CALL_BYTES, RIG_READS_PER_S);
	fclose(file);
}

void rig_gateway_start(struct rig_gateway *gateway)
{
	static char program[] = "target/build/briarplankd/briarplankd";
	static char role[] = "--role", name[] = "gateway";
	char *argv[] = { program, role, name, NULL };
	char settings[160], path[160];
	char *env[] = { settings, NULL };
	int log;

	snprintf(settings, sizeof(settings), "BRIARPLANK_SETTINGS=%s/%s.json",
		 folder, gateway->name);
	snprintf(path, sizeof(path), "%s/%s.log", folder, gateway->name);
	log = open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
	gateway->pid = start(argv, env, log);
	close(log);
	rig_record("%s started pid=%d", gateway->name, (int)gateway->pid);
}

void rig_gateway_kill(struct rig_gateway *gateway)
{
	kill(gateway->pid, SIGKILL);
	waitpid(gateway->pid, NULL, 0);
	forget_process(gateway->pid);
	rig_record("%s killed", gateway->name);
}

bool rig_gateway_is_ready(const struct rig_gateway *gateway)
{
	struct rig_gateway checks = *gateway;
	struct rig_call call = {
		.gateway = &checks,
		.method = "GET",
		.target = "/ready",
		.id = "ready",
		.timeout_ms = 500,
	};
	struct rig_answer answer;

	checks.front = gateway->ready;
	rig_call(&call, &answer);
	free(answer.body);
	return answer.status == 200;
}

void rig_gateways_wait(const struct rig_gateway *gateways, size_t nr)
{
	uint64_t until = rig_now_ms() + READY_MAX_MS;
	size_t i;

	for (i = 0; i < nr; i++) {
		while (!rig_gateway_is_ready(&gateways[i])) {
			if (rig_now_ms() > until)
				rig_fail("%s is not ready", gateways[i].name);
			rig_sleep_ms(50);
		}
	}
	rig_record("all gateways are ready");
}

unsigned long rig_memory_kb(pid_t pid)
{
	char path[64], line[128];
	unsigned long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	while (file && fgets(line, sizeof(line), file)) {
		if (!strncmp(line, "VmRSS:", 6))
			kb = strtoul(line + 6, NULL, 10);
	}
	if (file)
		fclose(file);
	return kb;
}

void rig_config(unsigned version)
{
	char text[2048];

	snprintf(
		text, sizeof(text),
		"{\"Version\":%u,\"Routes\":["
		"{\"Name\":\"r-stream\",\"Host\":\"%s\",\"PathPrefix\":"
		"\"/stream/\",\"Kind\":\"stream\",\"TimeoutMs\":5000,"
		"\"ObjectiveMs\":300,\"Priority\":0,\"Service\":\"model\","
		"\"MaxAttempts\":2,\"Sticky\":true,\"CanResume\":true,"
		"\"GapAimMs\":200},"
		"{\"Name\":\"r-plain\",\"Host\":\"%s\",\"PathPrefix\":"
		"\"/plain/\",\"Kind\":\"safe\",\"TimeoutMs\":2000,"
		"\"ObjectiveMs\":200,\"Priority\":2,\"Service\":\"desk\","
		"\"MaxAttempts\":3},"
		"{\"Name\":\"r-batch\",\"Host\":\"%s\",\"PathPrefix\":"
		"\"/batch/\",\"Kind\":\"batch\",\"TimeoutMs\":15000,"
		"\"ObjectiveMs\":400,\"Priority\":2,\"Service\":\"model\","
		"\"MaxAttempts\":3,\"CanResume\":true,\"CompletionMs\":18000,"
		"\"RetentionS\":60,\"MaxCount\":1300000}],"
		"\"Services\":["
		"{\"Name\":\"model\",\"HealthPath\":\"/health\","
		"\"MaxConns\":370},"
		"{\"Name\":\"desk\",\"HealthPath\":\"/health\","
		"\"MaxConns\":110}],"
		"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
		"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}",
		version, RIG_HOST, RIG_HOST, RIG_HOST);
	rig_store_put("keyed.op", "config", text);
}

/* Functions for servers. */

struct teller {
	char worker[32];
	FILE *output;
};

static void add_run(const char *worker, char *line)
{
	char *what = strchr(line, ' ');

	if (!what)
		return;
	*what++ = '\0';
	what[strcspn(what, "\n")] = '\0';
	pthread_mutex_lock(&runs_lock);
	if (runs_nr < RUNS_MAX) {
		struct rig_run *run = &runs[runs_nr++];

		run->at_ms = rig_now_ms();
		snprintf(run->worker, sizeof(run->worker), "%s", worker);
		snprintf(run->id, sizeof(run->id), "%s", line);
		snprintf(run->what, sizeof(run->what), "%.7s", what);
	}
	pthread_mutex_unlock(&runs_lock);
}

static void *hear_worker(void *arg)
{
	struct teller *teller = arg;
	char line[256];

	while (fgets(line, sizeof(line), teller->output))
		add_run(teller->worker, line);
	fclose(teller->output);
	free(teller);
	return NULL;
}

static void list_worker(const struct rig_worker *worker)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "{\"Service\":\"%s\",\"Address\":\"" HTTP_IP ":%d\","
		 "\"Zone\":\"akl-a\",\"Version\":\"%s\",\"Capacity\":%d,"
		 "\"State\":\"ready\",\"WarmupMs\":0,\"Sequence\":1,"
		 "\"born\":%llu}",
		 worker->service, worker->port, worker->version, worker->slots,
		 (unsigned long long)rig_wall_ms());
	rig_store_put("keyed.servers", worker->id, text);
}

void rig_worker_start(struct rig_worker *worker)
{
	static char program[] = RIG_WORKER;
	char port[16], slots[16], events[16], event_ms[16], event_bytes[16];
	char line[64];
	char *argv[] = { program,	  port,	       worker->id,
			 slots,		  events,      event_ms,
			 worker->version, event_bytes, NULL };
	char *env[] = { NULL };
	struct teller *teller = calloc(1, sizeof(*teller));
	pthread_t thread;
	int ends[2];

	if (!worker->port)
		worker->port = free_port();
	snprintf(port, sizeof(port), "%d", worker->port);
	snprintf(slots, sizeof(slots), "%d", worker->slots);
	snprintf(events, sizeof(events), "%d", worker->events);
	snprintf(event_ms, sizeof(event_ms), "%d", worker->event_ms);
	snprintf(event_bytes, sizeof(event_bytes), "%d", worker->event_bytes);
	if (pipe2(ends, O_CLOEXEC))
		rig_fail("no pipe");
	worker->pid = start(argv, env, ends[1]);
	close(ends[1]);
	snprintf(teller->worker, sizeof(teller->worker), "%s", worker->id);
	teller->output = fdopen(ends[0], "r");
	if (!fgets(line, sizeof(line), teller->output))
		rig_fail("%s did not start", worker->id);
	list_worker(worker);
	rig_record("%s serves, version=%s pid=%d", worker->id, worker->version,
		   (int)worker->pid);
	pthread_create(&thread, NULL, hear_worker, teller);
	pthread_detach(thread);
}

void rig_worker_kill(struct rig_worker *worker)
{
	kill(worker->pid, SIGKILL);
	waitpid(worker->pid, NULL, 0);
	forget_process(worker->pid);
	worker->pid = 0;
	rig_record("%s killed", worker->id);
}

bool rig_worker_ended(struct rig_worker *worker)
{
	if (!worker->pid || waitpid(worker->pid, NULL, WNOHANG) <= 0)
		return false;
	forget_process(worker->pid);
	worker->pid = 0;
	return true;
}

void rig_runs_each(void (*fn)(void *ctx, const struct rig_run *run), void *ctx)
{
	size_t i, nr;

	pthread_mutex_lock(&runs_lock);
	nr = runs_nr;
	pthread_mutex_unlock(&runs_lock);
	for (i = 0; i < nr; i++)
		fn(ctx, &runs[i]);
}

/* Functions for callers. */

struct reader {
	int fd;
	uint64_t until_ms;
	const struct rig_call *call;
	struct rig_answer *answer;
	char *data;
	size_t len;
	size_t at;
};

/* Reads more bytes behind those that were read; returns false at the end. */
static bool read_more(struct reader *reader)
{
	uint64_t now = rig_now_ms();
	uint64_t left = reader->until_ms > now ? reader->until_ms - now : 0;
	struct timeval wait = { .tv_sec = (time_t)(left / 1000),
				.tv_usec = (suseconds_t)(left % 1000) * 1000 };
	ssize_t nr;

	if (!left)
		return false;
	setsockopt(reader->fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof(wait));
	reader->data = realloc(reader->data, reader->len + 65537);
	nr = recv(reader->fd, reader->data + reader->len, 65536, 0);
	if (nr <= 0)
		return false;
	reader->len += (size_t)nr;
	reader->data[reader->len] = '\0';
	return true;
}

static void take_body(struct reader *reader, const char *data, size_t len)
{
	struct rig_answer *answer = reader->answer;

	if (reader->call->on_body)
		reader->call->on_body(reader->call->ctx, data, len);
	answer->body = realloc(answer->body, answer->len + len + 1);
	memcpy(answer->body + answer->len, data, len);
	answer->len += len;
	answer->body[answer->len] = '\0';
}

static bool take_bytes(struct reader *reader, size_t len)
{
	while (reader->len - reader->at < len) {
		if (!read_more(reader))
			return false;
	}
	take_body(reader, reader->data + reader->at, len);
	reader->at += len;
	return true;
}

static bool take_chunks(struct reader *reader)
{
	for (;;) {
		char *end;
		size_t len;

		while (reader->len == reader->at ||
		       !(end = strstr(reader->data + reader->at, "\r\n"))) {
			if (!read_more(reader))
				return false;
		}
		len = strtoul(reader->data + reader->at, NULL, 16);
		reader->at = (size_t)(end + 2 - reader->data);
		if (len && !take_bytes(reader, len))
			return false;
		while (reader->len - reader->at < 2) {
			if (!read_more(reader))
				return false;
		}
		reader->at += 2;
		if (!len)
			return true;
	}
}

static void take_answer(struct reader *reader)
{
	struct rig_answer *answer = reader->answer;
	char value[64], *end;

	while (!reader->len || !(end = strstr(reader->data, "\r\n\r\n"))) {
		if (!read_more(reader))
			return;
	}
	reader->at = (size_t)(end + 4 - reader->data);
	end[2] = '\0';
	if (sscanf(reader->data, "HTTP/1.1 %d", &answer->status) != 1)
		return;
	answer->is_signed = http_field(reader->data, "X-Server-Signature",
				       value, sizeof(value));
	if (http_field(reader->data, "Retry-After", value, sizeof(value)))
		answer->retry_after_s = strtod(value, NULL);
	if (http_field(reader->data, "Transfer-Encoding", value, sizeof(value)))
		answer->complete = take_chunks(reader);
	else if (http_field(reader->data, "Content-Length", value,
			    sizeof(value)))
		answer->complete = take_bytes(reader, strtoul(value, NULL, 10));
}

void rig_call(const struct rig_call *call, struct rig_answer *answer)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	struct reader reader = {
		.until_ms = rig_now_ms() + call->timeout_ms,
		.call = call,
		.answer = answer,
	};
	char head[2048];
	int len;

	memset(answer, 0, sizeof(*answer));
	addr.sin_port = htons((uint16_t)call->gateway->front);
	addr.sin_addr.s_addr = inet_addr(HTTP_IP);
	reader.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	len = snprintf(head, sizeof(head),
		       "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\n"
		       "X-Deadline-Ms: %u\r\nContent-Length: %zu\r\n%s\r\n",
		       call->method, call->target, RIG_HOST, call->id,
		       call->timeout_ms, call->len,
		       call->fields ? call->fields : "");
	if (!connect(reader.fd, (struct sockaddr *)&addr, sizeof(addr)) &&
	    http_send(reader.fd, head, (size_t)len) &&
	    http_send(reader.fd, call->body, call->len))
		take_answer(&reader);
	close(reader.fd);
	free(reader.data);
}

char *rig_job(const char *prefix, unsigned items, size_t body_bytes,
	      unsigned tokens, size_t *len)
{
	size_t encoded = (body_bytes + 2) / 3 * 4;
	char *job = malloc(64 + items * (strlen(prefix) + encoded + 256));
	char *at = job + sprintf(job, "{\"Items\":[");
	unsigned i;

	for (i = 0; i < items; i++) {
		at += sprintf(at,
			      "%s{\"Id\":\"%s-%u\",\"Path\":\"/batch/%u\","
			      "\"Headers\":{\"X-Model\":\"m\","
			      "\"X-Token-Count\":\"%u,%u\"},"
			      "\"Tokens\":%u,\"Body\":\"",
			      i ? "," : "", prefix, i, i, tokens / 6,
			      tokens - tokens / 6, tokens);
		memset(at, 'A', encoded);
		at += encoded;
		at += sprintf(at, "\"}");
	}
	at += sprintf(at, "]}");
	*len = (size_t)(at - job);
	return job;
}

int rig_submit(const struct rig_gateway *gateway, const char *id,
	       const char *job, size_t len)
{
	struct rig_call call = {
		.gateway = gateway,
		.method = "POST",
		.target = "/batch/jobs",
		.id = id,
		.fields = "Content-Type: application/json\r\n",
		.body = job,
		.len = len,
		.timeout_ms = 4000,
	};
	struct rig_answer answer;

	rig_call(&call, &answer);
	free(answer.body);
	return answer.status;
}

static int count_text(const char *text, const char *wanted)
{
	int nr = 0;

	while (text && (text = strstr(text, wanted))) {
		text++;
		nr++;
	}
	return nr;
}

int rig_completed(const struct rig_gateway *gateway, const char *id)
{
	int after = 0, completed = 0, more;

	do {
		char target[128];
		struct rig_call call = {
			.gateway = gateway,
			.method = "GET",
			.target = target,
			.id = "read",
			.timeout_ms = 2000,
		};
		struct rig_answer answer;

		snprintf(target, sizeof(target), "/lots/%s?After=%d", id,
			 after);
		rig_call(&call, &answer);
		if (answer.status != 200 || !answer.complete) {
			free(answer.body);
			return -1;
		}
		more = count_text(answer.body, "\"State\"");
		completed += count_text(answer.body, "\"completed\"");
		free(answer.body);
		after += more;
	} while (more);
	return completed;
}
