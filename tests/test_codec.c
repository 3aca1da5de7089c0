/*
 * Tests of the decoding of valid and invalid platform documents, and of the
 * encoding of results.
 */
#include <inttypes.h>
#include <string.h>

#include "common/error.h"
#include "platform/codec.h"
#include "script.h"

static void *state_create(void)
{
	return g_new0(int, 1);
}

static void state_destroy(void *state)
{
	g_free(state);
}

static void config(const char *text, GString *out)
{
	static const char *const kinds[] = { "safe", "unsafe", "stream",
					     "batch" };
	struct route_table *table = platform_config_decode(text, strlen(text));
	guint i;

	if (!table) {
		g_string_append_printf(out, "refused: %s\n", error_last());
		return;
	}
	g_string_append_printf(out,
			       "version %" PRIu64 " body=%" PRIu64 " idle=%u\n",
			       table->version, table->limits.body_bytes,
			       table->limits.idle_timeout_ms);
	for (i = 0; i < table->routes->len; i++) {
		const struct route *route = g_ptr_array_index(table->routes, i);

		g_string_append_printf(
			out,
			"route %s %s%s %s to %s timeout=%u objective=%u "
			"runs=%u tokens=%" PRIu64 " keep=%" PRIu64 "%s\n",
			route->name, route->host, route->prefix,
			kinds[route->kind],
			route->targets_nr ? route->targets[0].service : "-",
			route->timeout_ms, route->objective_ms,
			route->attempts_max, route->waiting_tokens_max,
			route->retention_ms,
			route->can_resume ? " resumes" : "");
	}
	route_table_destroy(table);
}

/* server ENTRY [KEY] */
static void server(int argc, char **argv, GString *out)
{
	struct server_info facts = { 0 };
	const char *text = argv[1], *id = argc > 2 ? argv[2] : "i-1";
	void *hold;

	if (!platform_server_decode(id, text, strlen(text), &facts, &hold)) {
		g_string_append_printf(out, "refused: %s\n", error_last());
		return;
	}
	g_string_append_printf(out, "%s of %s at %s in %s slots=%u%s\n",
			       facts.id, facts.service, facts.address,
			       facts.data_centre, facts.slots,
			       facts.draining ? " draining" : "");
	platform_server_free(hold);
}

static void job(const char *text, GString *out)
{
	struct job_request *request = platform_job_decode(text, strlen(text));
	size_t i;

	if (!request) {
		g_string_append_printf(out, "refused: %s\n", error_last());
		return;
	}
	for (i = 0; i < request->items_nr; i++) {
		const struct job_request_item *item = &request->items[i];

		g_string_append_printf(
			out, "item %s %s tokens=%" PRIu64 " body='%.*s'",
			item->id, item->path, item->tokens, (int)item->body_len,
			item->body);
		if (item->fields_nr)
			g_string_append_printf(out, " %s=%s",
					       item->fields[0].name,
					       item->fields[0].value);
		g_string_append(out, "\n");
	}
	job_request_free(request);
}

/* Command "many nr=N": decodes a job of N items with distinct ids. */
static void generated_job(int argc, char **argv, GString *out)
{
	int64_t i, nr = script_arg_int(argc, argv, "nr", 1);
	GString *text = g_string_new("{\"Items\":[");

	for (i = 0; i < nr; i++)
		g_string_append_printf(text,
				       "%s{\"Id\":\"%" PRId64
				       "\",\"Path\":\"/p\","
				       "\"Body\":\"\",\"Tokens\":1}",
				       i ? "," : "", i);
	g_string_append(text, "]}");
	job(text->str, out);
	g_string_free(text, TRUE);
}

static void call(char **argv, GString *out)
{
	static const char *const kinds[] = { "request", "ready", "results",
					     "item", "end" };
	struct platform_call parsed;

	platform_call_parse(argv[1], argv[2], argv[3], &parsed);
	g_string_append_printf(
		out, "%s job=%s item=%s position=%" PRIu64 "\n",
		kinds[parsed.kind], parsed.job ? parsed.job : "-",
		parsed.item ? parsed.item : "-", parsed.position);
	platform_call_clear(&parsed);
}

static void results(GString *out)
{
	const struct platform_result list[] = {
		{ .item = "a", .output = "x\n\"y\"", .output_len = 5 },
		{ .item = "b", .dead = true },
		{ .item = "c", .output = "", .output_len = 0 },
		{ .item = "d" },
	};
	char *text = platform_results_encode(5, 4, list, G_N_ELEMENTS(list));

	g_string_append_printf(out, "%s\n", text);
	g_free(text);
}

/* Prints how many parts are shared, and whether the first equals "bad". */
static void prompt(const char *text, GString *out)
{
	struct prompt prompt, other = { 0 };

	platform_prompt_parse(text, &prompt);
	prompt_add(&other, "bad");
	g_string_append_printf(
		out, "shared=%zu%s\n", prompt.parts_nr,
		prompt.parts_nr && prompt.parts[0] == other.parts[0] ? " bad" :
								       "");
	prompt_clear(&prompt);
	prompt_clear(&other);
}

static void load(const char *text, GString *out)
{
	struct platform_load load;

	if (!platform_load_parse(text, &load)) {
		g_string_append(out, "malformed\n");
		return;
	}
	g_string_append_printf(out, "running=%u waiting=%u", load.running,
			       load.waiting);
	if (load.slowdown > 0)
		g_string_append_printf(out, " slowdown=%g", load.slowdown);
	g_string_append_c(out, '\n');
}

static void tokens(const char *text, GString *out)
{
	struct platform_tokens tokens = platform_tokens_parse(text);

	g_string_append_printf(out, "prompt=%u output=%u\n", tokens.prompt,
			       tokens.output_max);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	(void)state;
	if (!strcmp(argv[0], "config"))
		config(argv[1], out);
	else if (!strcmp(argv[0], "server"))
		server(argc, argv, out);
	else if (!strcmp(argv[0], "job"))
		job(argv[1], out);
	else if (!strcmp(argv[0], "many"))
		generated_job(argc, argv, out);
	else if (!strcmp(argv[0], "call"))
		call(argv, out);
	else if (!strcmp(argv[0], "results"))
		results(out);
	else if (!strcmp(argv[0], "prompt"))
		prompt(argv[1], out);
	else if (!strcmp(argv[0], "tokens"))
		tokens(argv[1], out);
	else if (!strcmp(argv[0], "limit"))
		g_string_append_printf(out, "%.2f\n",
				       platform_rate_limit_parse(argv[1]));
	else
		load(argv[1], out);
}

static const struct script_driver driver = {
	.name = "codec",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
