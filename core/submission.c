#include <string.h>

#include <json-c/json.h>

#include "common/error.h"
#include "common/json_member.h"
#include "core/ledger.h"
#include "core/submission.h"
#include "ledger.pb-c.h"

/* Longest item id, in bytes. */
#define ITEM_ID_MAX_BYTES 256
/* Largest body of an item, in bytes, so that the message that grants the item
 * to an agent doesn't exceed the maximum message size. */
#define ITEM_BODY_MAX_BYTES (1 << 20)

struct submission_parser {
	struct submission_options options;
	struct submission submission;
	const char *pos;
	struct json_tokener *tokener;
	/* Set of the item ids of earlier lines, to detect duplicates. */
	GHashTable *ids;
	Briarplank__JobChunk chunk;
	GPtrArray *items;
	size_t bytes;
	uint32_t line;
};

static void item_free(gpointer data)
{
	briarplank__job_item__free_unpacked(data, NULL);
}

static void close_chunk(struct submission_parser *parser)
{
	const struct submission_options *options = &parser->options;
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	GByteArray *bytes;

	if (!parser->items->len)
		return;
	parser->chunk.items = (Briarplank__JobItem **)parser->items->pdata;
	parser->chunk.n_items = parser->items->len;
	append.writer = (char *)options->writer;
	append.writer_incarnation = options->writer_incarnation;
	append.chunk = &parser->chunk;
	bytes = g_byte_array_new();
	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(&append));
	briarplank__shard_append__pack(&append, bytes->data);
	g_ptr_array_add(parser->submission.chunks, bytes);
	parser->chunk.index++;
	parser->chunk.first_item += parser->items->len;
	g_ptr_array_set_size(parser->items, 0);
	parser->bytes = 0;
}

/* Sets an error about the current line; returns false. */
static bool fail_line(const struct submission_parser *parser, const char *what)
{
	error_set("line %u: %s", parser->line, what);
	return false;
}

static bool add_item(struct submission_parser *parser, const char *id,
		     const char *body, size_t body_len, bool idempotent)
{
	Briarplank__JobItem *item;

	if (body_len > ITEM_BODY_MAX_BYTES)
		return fail_line(parser, "body is larger than 1 MiB");
	if (!g_hash_table_add(parser->ids, g_strdup(id)))
		return fail_line(parser,
				 "id is already used on an earlier line");
	item = g_new(Briarplank__JobItem, 1);
	briarplank__job_item__init(item);
	item->id = g_strdup(id);
	item->body.data = g_memdup2(body, body_len);
	item->body.len = body_len;
	item->idempotent = idempotent;
	item->line = parser->options.part ? parser->line : 0;
	if (parser->bytes + body_len > parser->options.chunk_bytes)
		close_chunk(parser);
	g_ptr_array_add(parser->items, item);
	parser->bytes += body_len + strlen(id);
	parser->submission.items++;
	return true;
}

static bool parse_object(struct submission_parser *parser,
			 struct json_object *object, const char *line,
			 size_t len)
{
	struct json_object *id, *body, *idempotent;
	bool may_rerun = true;
	const char *text;
	size_t body_len;

	if (!json_object_is_type(object, json_type_object))
		return fail_line(parser, "not a JSON object");
	if (!json_object_object_get_ex(object, "id", &id) ||
	    !json_object_is_type(id, json_type_string) ||
	    !json_object_get_string_len(id) ||
	    json_object_get_string_len(id) > ITEM_ID_MAX_BYTES)
		return fail_line(parser,
				 "id must be a string of 1 to 256 bytes");
	if (!json_object_object_get_ex(object, "body", &body))
		return fail_line(parser, "body is missing");
	if (json_object_object_get_ex(object, "idempotent", &idempotent)) {
		if (!json_object_is_type(idempotent, json_type_boolean))
			return fail_line(parser,
					 "idempotent must be true or false");
		may_rerun = json_object_get_boolean(idempotent);
	}
	text = json_member_text(line, len, "body", &body_len);
	if (!text)
		return fail_line(parser,
				 "the key body must not contain escapes");
	return add_item(parser, json_object_get_string(id), text, body_len,
			may_rerun);
}

static bool is_blank(const char *line, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (!strchr(" \t\r", line[i]))
			return false;
	}
	return true;
}

static bool parse_line(struct submission_parser *parser, const char *line,
		       size_t len)
{
	struct json_object *object;
	bool ok;

	if (is_blank(line, len))
		return true;
	if (parser->submission.items == LEDGER_ITEMS_MAX)
		return fail_line(parser, "a job has at most 1048576 items");
	if (parser->options.part &&
	    parser->submission.items == LEDGER_PART_ITEMS_MAX)
		return fail_line(parser, "a part has at most 32768 items");
	json_tokener_reset(parser->tokener);
	object = json_tokener_parse_ex(parser->tokener, line, (int)len);
	if (!object ||
	    !is_blank(line + json_tokener_get_parse_end(parser->tokener),
		      len - json_tokener_get_parse_end(parser->tokener))) {
		json_object_put(object);
		return fail_line(parser, "not valid JSON");
	}
	ok = parse_object(parser, object, line, len);
	json_object_put(object);
	return ok;
}

static void compute_ids(const struct submission_options *options,
			struct submission *submission)
{
	uint8_t parts[3 * HASH128_BYTES];

	hash128_pair(options->caller, options->name, submission->job_id);
	memcpy(parts, submission->job_id, HASH128_BYTES);
	hash128_bytes(options->query, strlen(options->query),
		      parts + HASH128_BYTES);
	hash128_bytes(options->body ? options->body : "", options->body_len,
		      parts + 2 * HASH128_BYTES);
	hash128_bytes(parts, sizeof(parts), submission->content_hash);
}

static ProtobufCBinaryData id_field(uint8_t *id)
{
	ProtobufCBinaryData field = { .len = HASH128_BYTES, .data = id };

	return field;
}

static enum submission_status finish(struct submission_parser *parser)
{
	close_chunk(parser);
	if (!parser->submission.items) {
		error_set("the body contains no items");
		return SUBMISSION_EMPTY;
	}
	if (parser->submission.chunks->len > LEDGER_CHUNKS_MAX) {
		error_set("the body needs more than %u chunks",
			  LEDGER_CHUNKS_MAX);
		return SUBMISSION_TOO_LARGE;
	}
	return SUBMISSION_OK;
}

enum submission_status submission_parser_step(struct submission_parser *parser,
					      unsigned max_lines)
{
	const char *end = parser->options.body + parser->options.body_len;

	while (parser->pos < end && max_lines--) {
		const char *eol = memchr(parser->pos, '\n', end - parser->pos);
		size_t len = (eol ? eol : end) - parser->pos;

		parser->line++;
		parser->submission.lines++;
		if (!parse_line(parser, parser->pos, len))
			return SUBMISSION_BAD_LINE;
		parser->pos += len + (eol ? 1 : 0);
	}
	return parser->pos < end ? SUBMISSION_MORE : finish(parser);
}

struct submission_parser *submission_parser_create(
	const struct submission_options *options)
{
	struct submission_parser *parser = g_new0(struct submission_parser, 1);

	parser->options = *options;
	parser->pos = options->body;
	parser->line = options->part ? options->first_line - 1 : 0;
	parser->submission.chunks = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	compute_ids(options, &parser->submission);
	parser->tokener = json_tokener_new();
	json_tokener_set_flags(parser->tokener,
			       JSON_TOKENER_STRICT |
				       JSON_TOKENER_ALLOW_TRAILING_CHARS);
	parser->ids =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	parser->items = g_ptr_array_new_with_free_func(item_free);
	briarplank__job_chunk__init(&parser->chunk);
	parser->chunk.part = options->part;
	parser->chunk.job_id = id_field(parser->submission.job_id);
	parser->chunk.submission_id = id_field(parser->submission.content_hash);
	return parser;
}

const struct submission *submission_parser_result(
	const struct submission_parser *parser)
{
	return &parser->submission;
}

void submission_parser_destroy(struct submission_parser *parser)
{
	g_ptr_array_free(parser->submission.chunks, TRUE);
	g_ptr_array_free(parser->items, TRUE);
	g_hash_table_destroy(parser->ids);
	json_tokener_free(parser->tokener);
	g_free(parser);
}
