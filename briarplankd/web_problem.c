#include <glib.h>
#include <json-c/json.h>
#include <string.h>

#include "web_problem.h"

#define FIRST_ERROR_STATUS 400

char *web_problem_json(int status, const char *title, const char *detail)
{
	struct json_object *root = json_object_new_object();
	char *text;

	json_object_object_add(root, "type",
			       json_object_new_string("about:blank"));
	json_object_object_add(root, "title", json_object_new_string(title));
	json_object_object_add(root, "status", json_object_new_int(status));
	json_object_object_add(root, "detail", json_object_new_string(detail));
	text = g_strdup(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
	return text;
}

/* Replaces the body of an error page, which h2o sends in one piece. */
static void send_problem(h2o_ostream_t *self, h2o_req_t *req, h2o_iovec_t *bufs,
			 size_t bufs_nr, h2o_send_state_t state)
{
	char *detail =
		bufs_nr ? g_strndup(bufs[0].base, bufs[0].len) : g_strdup("");
	char *text = web_problem_json(req->res.status, req->res.reason, detail);
	h2o_iovec_t buf = h2o_strdup(&req->pool, text, strlen(text));

	g_free(text);
	g_free(detail);
	req->res.content_length = buf.len;
	h2o_ostream_send_next(self, req, &buf, 1, state);
}

/* h2o's own answers have a reason phrase, those of handlers have none. */
static void on_setup_ostream(h2o_filter_t *self, h2o_req_t *req,
			     h2o_ostream_t **slot)
{
	h2o_ostream_t *ostream;
	ssize_t type;

	(void)self;
	type = h2o_find_header(&req->res.headers, H2O_TOKEN_CONTENT_TYPE, -1);
	if (req->res.status >= FIRST_ERROR_STATUS && *req->res.reason &&
	    type >= 0) {
		req->res.headers.entries[type].value =
			h2o_iovec_init(H2O_STRLIT(WEB_PROBLEM_TYPE));
		ostream = h2o_add_ostream(req, sizeof(*ostream), slot);
		ostream->do_send = send_problem;
		slot = &ostream->next;
	}
	h2o_setup_next_ostream(req, slot);
}

void web_problem_install(h2o_pathconf_t *path)
{
	h2o_filter_t *filter = h2o_create_filter(path, sizeof(*filter));

	filter->on_setup_ostream = on_setup_ostream;
}
