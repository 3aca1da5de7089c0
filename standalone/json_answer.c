#include "standalone/json_answer.h"

#define JSON_DEPTH 32

struct json_object *json_answer_parse(const struct http_answer *answer,
				      enum json_type type)
{
	struct json_tokener *tokener;
	struct json_object *root;

	if (answer->end != HTTP_COMPLETE || answer->status != 200)
		return NULL;
	tokener = json_tokener_new_ex(JSON_DEPTH);
	json_tokener_set_flags(tokener,
			       JSON_TOKENER_STRICT |
				       JSON_TOKENER_ALLOW_TRAILING_CHARS);
	root = json_tokener_parse_ex(tokener, answer->body, (int)answer->len);
	json_tokener_free(tokener);
	if (root && !json_object_is_type(root, type)) {
		json_object_put(root);
		return NULL;
	}
	return root;
}

static struct json_object *member(struct json_object *root, const char *name,
				  enum json_type type)
{
	struct json_object *value = NULL;

	if (!root || !json_object_object_get_ex(root, name, &value) ||
	    !json_object_is_type(value, type))
		return NULL;
	return value;
}

const char *json_answer_text(struct json_object *root, const char *name)
{
	struct json_object *value = member(root, name, json_type_string);

	return value ? json_object_get_string(value) : "";
}

uint64_t json_answer_int(struct json_object *root, const char *name)
{
	struct json_object *value = member(root, name, json_type_int);

	return value ? json_object_get_uint64(value) : 0;
}

bool json_answer_bool(struct json_object *root, const char *name)
{
	struct json_object *value = member(root, name, json_type_boolean);

	return value && json_object_get_boolean(value);
}
