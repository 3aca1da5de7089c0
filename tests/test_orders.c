/* Tests orders to a server, and the change slots of the fleet. */
#include <inttypes.h>
#include <string.h>

#include "core/order_slots.h"
#include "core/orders.h"
#include "script.h"

struct state {
	struct orders *orders;
	struct order_slots *slots;
	struct orders_view view;
	unsigned max;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->orders = orders_create(true);
	state->slots = order_slots_create();
	state->view.open = true;
	state->view.idle = true;
	state->view.others_ready = 1;
	state->max = 2;
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	orders_destroy(state->orders);
	order_slots_destroy(state->slots);
	g_free(state);
}

/* server fencing=0|1 */
static void cmd_server(struct state *state, int argc, char **argv, GString *out)
{
	orders_destroy(state->orders);
	state->orders = orders_create(script_arg_int(argc, argv, "fencing", 1));
}

/* desired [model=M] [version=V] [adapter=A] [role=R] revision=N */
static void cmd_desired(struct state *state, int argc, char **argv,
			GString *out)
{
	struct orders_desired desired = {
		.model = script_arg(argc, argv, "model", NULL),
		.version = script_arg(argc, argv, "version", NULL),
		.adapter = script_arg(argc, argv, "adapter", NULL),
		.role = script_arg(argc, argv, "role", NULL),
		.revision = script_arg_int(argc, argv, "revision", 0),
	};

	orders_set_desired(state->orders, &desired);
}

/*
 * current none
 * current [model=M] [version=V] [adapter=A] [role=R] [number=N] [busy=1]
 */
static void cmd_current(struct state *state, int argc, char **argv,
			GString *out)
{
	struct orders_current current = {
		.model = script_arg(argc, argv, "model", ""),
		.version = script_arg(argc, argv, "version", ""),
		.adapter = script_arg(argc, argv, "adapter", ""),
		.role = script_arg(argc, argv, "role", ""),
		.fencing_number = script_arg_int(argc, argv, "number", 0),
		.busy = script_arg_int(argc, argv, "busy", 0),
	};

	orders_note_state(state->orders,
			  argc > 1 && !strcmp(argv[1], "none") ? NULL :
								 &current,
			  state->view.now_ms);
}

/* ended done|fenced|refused|unknown */
static void cmd_ended(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const names[] = { "done", "fenced", "refused",
					     "unknown" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(argv[1], names[i]))
			orders_note_result(state->orders, i,
					   state->view.now_ms);
	}
}

static void print_order(const struct orders_action *action, GString *out)
{
	g_string_append_printf(out, "send %s", action->order);
	if (action->model)
		g_string_append_printf(out, " model=%s", action->model);
	if (action->version)
		g_string_append_printf(out, " version=%s", action->version);
	if (action->adapter)
		g_string_append_printf(out, " adapter=%s", action->adapter);
	if (action->role)
		g_string_append_printf(out, " role=%s", action->role);
	g_string_append_printf(out, " number=%" PRIu64 "\n",
			       action->fencing_number);
}

/* next [at=MS] [slot=none|waiting|granted] [open=0|1] [idle=0|1] [others=N] */
static void cmd_next(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const names[] = { "wait",	"read back", "claim",
					     "release", "close",     "open",
					     "send" };
	const char *slot = script_arg(argc, argv, "slot", NULL);
	struct orders_view *view = &state->view;
	struct orders_action action;

	view->now_ms = script_arg_int(argc, argv, "at", view->now_ms);
	view->open = script_arg_int(argc, argv, "open", view->open);
	view->idle = script_arg_int(argc, argv, "idle", view->idle);
	view->others_ready =
		script_arg_int(argc, argv, "others", view->others_ready);
	if (slot)
		view->slot = !strcmp(slot, "granted") ? ORDERS_SLOT_GRANTED :
			     !strcmp(slot, "waiting") ? ORDERS_SLOT_WAITING :
							ORDERS_SLOT_NONE;
	orders_next(state->orders, view, &action);
	if (action.kind == ORDERS_SEND)
		print_order(&action, out);
	else if (action.kind == ORDERS_RELEASE)
		g_string_append_printf(out, "release, %s\n",
				       action.ready ? "ready" : "not ready");
	else if (action.kind == ORDERS_WAIT &&
		 orders_blocked_reason(state->orders))
		g_string_append_printf(out, "wait: %s\n",
				       orders_blocked_reason(state->orders));
	else
		g_string_append_printf(out, "%s\n", names[action.kind]);
}

/* claim AGENT SERVICE offset=N [at=MS] [limit=MS] */
static void cmd_claim(struct state *state, int argc, char **argv, GString *out)
{
	Briarplank__OrderSlot record = BRIARPLANK__ORDER_SLOT__INIT;

	record.agent = argv[1];
	record.service = argv[2];
	record.limit_ms = script_arg_int(argc, argv, "limit", 1000);
	order_slots_apply(state->slots, script_arg_int(argc, argv, "offset", 0),
			  script_arg_int(argc, argv, "at", 0), &record);
}

/* release AGENT offset=N [ready=0|1] */
static void cmd_release(struct state *state, int argc, char **argv,
			GString *out)
{
	Briarplank__OrderSlot record = BRIARPLANK__ORDER_SLOT__INIT;

	record.agent = argv[1];
	record.kind = BRIARPLANK__ORDER_SLOT__KIND__RELEASE;
	record.ready = script_arg_int(argc, argv, "ready", 1);
	order_slots_apply(state->slots, script_arg_int(argc, argv, "offset", 0),
			  0, &record);
}

/* slots AGENT... [at=MS] [max=N]: the state of each claim */
static void cmd_slots(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const names[] = { "none", "waiting", "granted" };
	uint64_t at = script_arg_int(argc, argv, "at", 0);
	int i;

	state->max = script_arg_int(argc, argv, "max", state->max);
	for (i = 1; i < argc && !strchr(argv[i], '='); i++)
		g_string_append_printf(
			out, "%s %s\n", argv[i],
			names[order_slots_state(state->slots, argv[i],
						state->max, at)]);
}

/* serves AGENT [at=MS] */
static void cmd_serves(struct state *state, int argc, char **argv, GString *out)
{
	bool serves = order_slots_serves(state->slots, argv[1], state->max,
					 script_arg_int(argc, argv, "at", 0));

	g_string_append(out, serves ? "yes\n" : "no\n");
}

struct command {
	const char *name;
	void (*run)(struct state *state, int argc, char **argv, GString *out);
};

static const struct command commands[] = {
	{ "claim", cmd_claim },	    { "ended", cmd_ended },
	{ "current", cmd_current }, { "next", cmd_next },
	{ "release", cmd_release }, { "server", cmd_server },
	{ "serves", cmd_serves },   { "slots", cmd_slots },
	{ "desired", cmd_desired },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[0]))
			continue;
		commands[i].run(data, argc, argv, out);
		return;
	}
	g_string_append(out, "no such command\n");
}

static const struct script_driver driver = {
	.name = "orders",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
