/*
 * Tests of the platform's adapters against stand-in servers and raw TCP peers:
 * each injected fault must map to the specified status.
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "loop_wait.h"
#include "standalone/http_fetch.h"
#include "standalone/log_service.h"
#include "standalone/vm_list.h"
#include "standalone/weight_store.h"
#include "platform_state.h"
#include "raw_peer.h"
#include "script.h"
#include "standin.h"

#define LOG_TIMEOUT_MS 400

static const char *const log_names[] = { "ok", "refused", "unknown",
					 "unavailable" };
static const char *const order_names[] = { "done", "fenced", "refused",
					   "unknown" };

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	uv_loop_init(&state->loop);
	state->http = http_client_create(&state->loop);
	state->body = g_string_new(NULL);
	return state;
}

static void adapters_destroy(struct state *state)
{
	if (state->log)
		state->log->ops->destroy(state->log);
	if (state->backend)
		state->backend->ops->destroy(state->backend);
	if (state->vms)
		state->vms->ops->destroy(state->vms);
	if (state->weights)
		state->weights->ops->destroy(state->weights);
	state->log = NULL;
	state->backend = NULL;
	state->vms = NULL;
	state->weights = NULL;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	adapters_destroy(state);
	http_client_destroy(state->http);
	if (state->standin)
		standin_stop(state->standin);
	if (state->raw)
		raw_server_destroy(state->raw);
	loop_close(&state->loop);
	g_string_free(state->body, TRUE);
	g_free(state->address);
	g_free(state);
}

static void make_adapters(struct state *state, const char *address, bool plain)
{
	adapters_destroy(state);
	g_free(state->address);
	state->address = g_strdup(address);
	state->log = log_http_create(state->http, address, LOG_TIMEOUT_MS);
	state->backend = plain ? plain_http_create(state->http, address) :
				 engine_http_create(state->http, address);
	state->vms = vm_list_http_create(state->http, address);
	state->weights = weight_store_http_create(state->http, address);
}

static bool is_done(void *ctx)
{
	return ((struct state *)ctx)->done;
}

void wait_done(struct state *state)
{
	if (!loop_wait(&state->loop, is_done, state, LOOP_WAIT_MS))
		g_string_append(state->out, "timed out\n");
}

/* start COMMAND [option...]: starts a stand-in server */
static void cmd_start(void *data, int argc, char **argv)
{
	struct state *state = data;
	state->standin = standin_start(&state->loop, argc - 1, argv + 1);
	if (!state->standin) {
		g_string_append(state->out, "bad\n");
		return;
	}
	make_adapters(state, standin_address(state->standin),
		      !strcmp(argv[1], "plain"));
}

/* raw BYTES [then=hold|close|repeat|reset]: starts a server that replies with the
 * bytes */
static void cmd_raw(void *data, int argc, char **argv)
{
	struct state *state = data;
	const char *then = script_arg(argc, argv, "then", "hold");
	char *bytes = g_strcompress(argv[1]);

	state->raw = raw_server_create(&state->loop, bytes,
				       !strcmp(then, "hold")   ? RAW_KEEP_OPEN :
				       !strcmp(then, "close")  ? RAW_CLOSE :
				       !strcmp(then, "repeat") ? RAW_REPEAT :
								 RAW_RESET);
	g_free(bytes);
	make_adapters(state, raw_server_address(state->raw), false);
}

/* taken max_mb=N: tells whether the server could send no more than that */
static void cmd_taken(void *data, int argc, char **argv)
{
	struct state *state = data;
	uint64_t max = (uint64_t)script_arg_int(argc, argv, "max_mb", 0) << 20;

	g_string_append(state->out, raw_server_repeated(state->raw) <= max ?
					    "not more\n" :
					    "more\n");
}

/* closed_port: uses a port on which no server listens any more */
static void cmd_closed_port(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct raw_server *gone =
		raw_server_create(&state->loop, "", RAW_CLOSE);

	(void)argc;
	(void)argv;
	make_adapters(state, raw_server_address(gone), false);
	raw_server_destroy(gone);
}

static void cmd_received(void *data, int argc, char **argv)
{
	struct state *state = data;
	const GString *received = raw_server_received(state->raw);
	char **lines = g_strsplit(received->str, "\r\n", -1);
	char **line;

	(void)argc;
	(void)argv;
	for (line = lines; *line; line++) {
		if (**line && !g_str_has_prefix(*line, "host:"))
			g_string_append_printf(state->out, "%s\n", *line);
	}
	g_strfreev(lines);
}

static void on_answer(void *ctx, const struct http_answer *answer)
{
	struct state *state = ctx;

	g_string_append_printf(state->out, "%s %d %.*s\n",
			       http_result_names[answer->end], answer->status,
			       (int)answer->len, answer->body);
	state->done = true;
}

static void on_fault_set(void *ctx, const struct http_answer *answer)
{
	struct state *state = ctx;

	if (answer->status != 200)
		g_string_append(state->out, "fault not set\n");
	state->done = true;
}

static void fetch(struct state *state, const char *method, const char *path,
		  const char *body, http_fetch_fn on_done)
{
	struct http_call_options options = {
		.address = state->address,
		.method = method,
		.path = path,
		.body = body,
		.body_len = strlen(body),
	};

	http_fetch(state->http, &options, on_done, state);
	wait_done(state);
}

static bool is_ended(void *ctx)
{
	return ((struct state *)ctx)->ended;
}

/* fault QUERY [end=1]: injects a fault; end=1 waits for the end of the running
 * call */
static void cmd_fault(void *data, int argc, char **argv)
{
	struct state *state = data;
	char *path = g_strdup_printf("/fault?%s", argv[1]);

	fetch(state, "POST", path, "", on_fault_set);
	g_free(path);
	if (script_arg_int(argc, argv, "end", 0) &&
	    !loop_wait(&state->loop, is_ended, state, LOOP_WAIT_MS))
		g_string_append(state->out, "no end\n");
}

/* fetch METHOD PATH [BODY]: sends a request and prints the response */
static void cmd_fetch(void *data, int argc, char **argv)
{
	struct state *state = data;
	fetch(state, argv[1], argv[2], argc > 3 ? argv[3] : "", on_answer);
}

static void cmd_sleep(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	loop_sleep(&state->loop, g_ascii_strtoull(argv[1], NULL, 10));
}

static void on_appended(void *ctx, enum log_service_status status,
			uint64_t offset)
{
	struct state *state = ctx;

	g_string_append(state->out, log_names[status]);
	if (status == LOG_SERVICE_OK)
		g_string_append_printf(state->out, " %" PRIu64, offset);
	g_string_append_c(state->out, '\n');
	state->done = true;
}

/* append STREAM PAYLOAD: appends a record and prints its offset */
static void cmd_append(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	state->log->ops->append(state->log, argv[1], argv[2], strlen(argv[2]),
				on_appended, state);
	wait_done(state);
}

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page)
{
	struct state *state = ctx;
	size_t i;

	g_string_append(state->out, log_names[status]);
	if (page)
		g_string_append_printf(state->out,
				       " first=%" PRIu64 " end=%" PRIu64,
				       page->first_offset, page->end_offset);
	for (i = 0; page && i < page->nr; i++)
		g_string_append_printf(state->out, " %" PRIu64 ":%.*s",
				       page->entries[i].offset,
				       (int)page->entries[i].len,
				       (const char *)page->entries[i].payload);
	g_string_append_c(state->out, '\n');
	state->done = true;
}

/* read STREAM [from=N] [max=BYTES] [wait=MS] [append=PAYLOAD]: reads records;
 * append= appends a record while the read waits */
static void cmd_read(void *data, int argc, char **argv)
{
	struct state *state = data;
	const char *append = script_arg(argc, argv, "append", NULL);

	state->log->ops->read(
		state->log, argv[1], script_arg_int(argc, argv, "from", 1),
		script_arg_int(argc, argv, "max", 1000),
		script_arg_int(argc, argv, "wait", 0), on_read, state);
	if (append) {
		loop_sleep(&state->loop, 30);
		state->log->ops->append(state->log, argv[1], append,
					strlen(append), on_appended, state);
	}
	wait_done(state);
	/* Lets the append's response arrive after the read's. */
	if (append)
		loop_sleep(&state->loop, 30);
}

static void on_load(void *ctx, bool ok, const struct backend_load *load)
{
	struct state *state = ctx;

	if (ok)
		g_string_append_printf(state->out, "running=%u waiting=%u\n",
				       load->running, load->waiting);
	else
		g_string_append(state->out, "no load\n");
	state->done = true;
}

static void cmd_load(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	state->backend->ops->load(state->backend, on_load, state);
	wait_done(state);
}

static void on_ordered(void *ctx, enum backend_order_status status,
		       const char *message)
{
	struct state *state = ctx;

	(void)message;
	g_string_append_printf(state->out, "%s\n", order_names[status]);
	state->done = true;
}

/* order action=A [model=M] [version=V] [adapter=A] [role=R] [number=N]: sends
 * an order to the backend server */
static void cmd_order(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct backend_order order = {
		.action = script_arg(argc, argv, "action", ""),
		.model = script_arg(argc, argv, "model", NULL),
		.version = script_arg(argc, argv, "version", NULL),
		.adapter = script_arg(argc, argv, "adapter", NULL),
		.role = script_arg(argc, argv, "role", NULL),
		.fencing_number = script_arg_int(argc, argv, "number", 0),
	};

	state->backend->ops->order(state->backend, &order, on_ordered, state);
	wait_done(state);
}

static void on_held(void *ctx, bool ok, const struct backend_model_state *held)
{
	struct state *state = ctx;

	if (ok)
		g_string_append_printf(state->out,
				       "model=%s version=%s adapter=%s role=%s "
				       "number=%" PRIu64 " busy=%d\n",
				       held->model, held->version,
				       held->adapter, held->role,
				       held->fencing_number, held->busy);
	else
		g_string_append(state->out, "not known\n");
	state->done = true;
}

static void cmd_held(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	state->backend->ops->held(state->backend, on_held, state);
	wait_done(state);
}

static void on_vms(void *ctx, bool ok, const struct vm_entry *vms, size_t nr)
{
	struct state *state = ctx;
	size_t i;

	g_string_append(state->out, ok ? "ok\n" : "unavailable\n");
	for (i = 0; i < nr; i++)
		g_string_append_printf(
			state->out, "%s %s %s %s %s/%s %s\n", vms[i].name,
			vms[i].role == VM_ENTRY ? "entry" : "agent",
			vms[i].state == VM_LIVE ? "live" : "leaving",
			vms[i].address, vms[i].region, vms[i].data_centre,
			*vms[i].service ? vms[i].service : "-");
	state->done = true;
}

static void cmd_vms(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	state->vms->ops->fetch(state->vms, on_vms, state);
	wait_done(state);
}

static void on_described(void *ctx, bool ok, uint64_t bytes, uint64_t rate)
{
	struct state *state = ctx;

	if (ok)
		g_string_append_printf(state->out,
				       "%" PRIu64 " bytes at %" PRIu64 "/s\n",
				       bytes, rate);
	else
		g_string_append(state->out, "not described\n");
	state->done = true;
}

/* describe MODEL VERSION: prints the size and the transfer rate of a model */
static void cmd_describe(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	state->weights->ops->describe(state->weights, argv[1], argv[2],
				      on_described, state);
	wait_done(state);
}

static const struct script_command commands[] = {
	{ "append", cmd_append },     { "call", cmd_call },
	{ "describe", cmd_describe }, { "fault", cmd_fault },
	{ "fetch", cmd_fetch },	      { "held", cmd_held },
	{ "load", cmd_load },	      { "closed_port", cmd_closed_port },
	{ "order", cmd_order },	      { "raw", cmd_raw },
	{ "read", cmd_read },	      { "received", cmd_received },
	{ "sleep", cmd_sleep },	      { "start", cmd_start },
	{ "taken", cmd_taken },	      { "vms", cmd_vms },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	state->out = out;
	state->done = false;
	script_dispatch(commands, G_N_ELEMENTS(commands), state, argc, argv,
			out);
}

static const struct script_driver driver = {
	.name = "platform",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
