#include <stdbool.h>
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "engine_stream.h"

static const char json_stream_member[] = "\"stream\":true}";
static const char event_prefix[] = "data: ";
static const char end_marker[] = "[DONE]";

const char engine_stream_end[] = "data: [DONE]";

char *engine_stream_request(const char *body, size_t len)
{
	char *text = g_strndup(body, len);
	struct json_object *root = json_tokener_parse(text);
	char *end = strrchr(text, '}');
	char *out = NULL;

	if (json_object_is_type(root, json_type_object) && end &&
	    !json_object_object_get_ex(root, "stream", NULL)) {
		*end = '\0';
		out = g_strconcat(text,
				  json_object_object_length(root) ? "," : "",
				  json_stream_member, NULL);
	}
	json_object_put(root);
	g_free(text);
	return out;
}

/* Appends the token of one event; returns false if it has none. */
static bool add_token(GString *text, const char *event)
{
	struct json_object *root = json_tokener_parse(event);
	struct json_object *token = NULL;
	bool found = json_object_is_type(root, json_type_object) &&
		     json_object_object_get_ex(root, "token", &token);

	if (found)
		g_string_append_printf(text, "%s ",
				       json_object_get_string(token));
	json_object_put(root);
	return found;
}

static char *make_answer(const char *call_id, const GString *text,
			 unsigned tokens)
{
	struct json_object *root = json_object_new_object();
	char *out;

	json_object_object_add(root, "id", json_object_new_string(call_id));
	json_object_object_add(root, "text", json_object_new_string(text->str));
	json_object_object_add(root, "tokens", json_object_new_int64(tokens));
	out = g_strdup(
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	return out;
}

char *engine_stream_assemble(const char *call_id, const char *events)
{
	char **lines = g_strsplit(events, "\n", -1);
	GString *text = g_string_new(NULL);
	bool complete = false, valid = true;
	unsigned tokens = 0, i;
	char *out = NULL;

	for (i = 0; lines[i] && valid; i++) {
		const char *event = lines[i] + strlen(event_prefix);

		if (!g_str_has_prefix(lines[i], event_prefix))
			continue;
		if (!strcmp(event, end_marker))
			complete = true;
		else
			valid = add_token(text, event) && ++tokens;
	}
	if (complete && valid)
		out = make_answer(call_id, text, tokens);
	g_string_free(text, TRUE);
	g_strfreev(lines);
	return out;
}
