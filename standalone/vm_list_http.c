/*
 * HTTP adapter for the VM list: a JSON array with one object per VM.
 */
#include <string.h>

#include <glib.h>

#include "common/settings.h"
#include "standalone/json_answer.h"
#include "standalone/vm_list.h"

#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS 3000

struct vm_list_http {
	struct vm_list super;
	struct http_client *http;
	char *address;
};

struct query {
	vm_list_fn done;
	void *ctx;
};

/* Parses one VM; returns false if a required member is missing or invalid. */
static bool parse_vm(struct json_object *row, struct vm_entry *vm)
{
	const char *role = json_answer_text(row, "role");
	const char *state = json_answer_text(row, "state");

	vm->name = json_answer_text(row, "name");
	vm->address = json_answer_text(row, "address");
	vm->data_centre = json_answer_text(row, "data_centre");
	vm->region = json_answer_text(row, "region");
	vm->service = json_answer_text(row, "service");
	if (!*vm->name || !settings_address_valid(vm->address))
		return false;
	if (strcmp(role, "entry") && strcmp(role, "agent"))
		return false;
	if (strcmp(state, "live") && strcmp(state, "leaving"))
		return false;
	vm->role = strcmp(role, "entry") ? VM_AGENT : VM_ENTRY;
	vm->state = strcmp(state, "live") ? VM_LEAVING : VM_LIVE;
	return true;
}

/* Reports the valid VMs; skips invalid ones. */
static void report(struct query *query, struct json_object *root)
{
	size_t rows = json_object_array_length(root);
	struct vm_entry *vms = g_new0(struct vm_entry, rows + 1);
	size_t nr = 0;
	size_t i;

	for (i = 0; i < rows; i++) {
		struct json_object *row = json_object_array_get_idx(root, i);

		if (json_object_is_type(row, json_type_object) &&
		    parse_vm(row, &vms[nr]))
			nr++;
	}
	query->done(query->ctx, true, vms, nr);
	g_free(vms);
}

static void on_list(void *ctx, const struct http_answer *answer)
{
	struct query *query = ctx;
	struct json_object *root = json_answer_parse(answer, json_type_array);

	if (root)
		report(query, root);
	else
		query->done(query->ctx, false, NULL, 0);
	json_object_put(root);
}

static void vm_list_http_fetch(struct vm_list *base, vm_list_fn done, void *ctx)
{
	struct vm_list_http *list = (struct vm_list_http *)base;
	struct query *query = g_new0(struct query, 1);
	struct http_call_options options = {
		.address = list->address,
		.method = "GET",
		.path = "/v1/vms",
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = ANSWER_TIMEOUT_MS,
		.idle_timeout_ms = ANSWER_TIMEOUT_MS,
		.on_free = g_free,
	};

	query->done = done;
	query->ctx = ctx;
	http_fetch(list->http, &options, on_list, query);
}

static void vm_list_http_destroy(struct vm_list *base)
{
	struct vm_list_http *list = (struct vm_list_http *)base;

	g_free(list->address);
	g_free(list);
}

static const struct vm_list_ops vm_list_http_ops = {
	.fetch = vm_list_http_fetch,
	.destroy = vm_list_http_destroy,
};

struct vm_list *vm_list_http_create(struct http_client *http,
				    const char *address)
{
	struct vm_list_http *list = g_new0(struct vm_list_http, 1);

	list->super.ops = &vm_list_http_ops;
	list->http = http;
	list->address = g_strdup(address);
	return &list->super;
}
