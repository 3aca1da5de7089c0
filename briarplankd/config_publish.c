/*
 * Publishes operators' changes: appends each change to the log, with retries,
 * until its result is known. The command id makes repeated appends idempotent.
 */
#include <string.h>

#include "config_private.h"
#include "common/error.h"
#include "common/log.h"
#include "core/config_keys.h"

#define PART CONFIG_PART

/* Timeout after which the outcome of a change is reported as unknown, in ms. */
#define PUBLISH_TIMEOUT_MS 6000
/* Delay before an append with unknown outcome is retried, in ms. */
#define APPEND_RETRY_MS 300
/* Delay before the log is read again to find a change, in ms. */
#define READ_RETRY_MS 100

struct publish {
	struct list link;
	struct config_task *task;
	char *operator_name;
	char *command_id;
	char *key;
	char *value;
	uint64_t base_revision;
	config_publish_fn done;
	void *ctx;
	uint64_t deadline_ms;
	bool appending;
	/* An append of the change to the log succeeded. */
	bool stored;
	/* An append failed, but may have reached the log. */
	bool in_doubt;
	uint64_t append_at_ms;
	uint64_t read_at_ms;
	/* The result of the publish is known. */
	bool has_result;
	struct config_publish_result result;
	char *message;
};

static void publish_free(struct publish *publish)
{
	list_remove(&publish->link);
	g_free(publish->operator_name);
	g_free(publish->command_id);
	g_free(publish->key);
	g_free(publish->value);
	g_free(publish->message);
	g_free(publish);
}

void config_publishes_free(struct config_task *task)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->publishes)
		publish_free(list_entry(pos, struct publish, link));
}

__attribute__((format(printf, 4, 5))) static void set_result(
	struct publish *publish, enum config_publish_status status,
	uint64_t revision, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_free(publish->message);
	publish->message = g_strdup_vprintf(fmt, args);
	va_end(args);
	publish->has_result = true;
	publish->result.status = status;
	publish->result.revision = revision;
	publish->result.message = publish->message;
}

static void set_conflict(struct publish *publish, uint64_t revision)
{
	const struct config_store *store = publish->task->store;
	const char *value = config_store_value(store, publish->key);

	set_result(publish, CONFIG_PUBLISH_CONFLICT, revision,
		   "%s was changed at revision %" G_GUINT64_FORMAT
		   "; it is %s at revision %" G_GUINT64_FORMAT,
		   publish->key, revision, value ? value : "not set",
		   config_store_key_revision(store, publish->key));
}

static void set_applied(struct publish *publish, uint64_t offset)
{
	uint64_t current =
		config_store_key_revision(publish->task->store, publish->key);

	if (current > offset)
		set_result(
			publish, CONFIG_PUBLISH_APPLIED, offset,
			"%s took effect at revision %" G_GUINT64_FORMAT
			" and was changed again at revision %" G_GUINT64_FORMAT,
			publish->key, offset, current);
	else
		set_result(publish, CONFIG_PUBLISH_APPLIED, offset,
			   "%s is in force at revision %" G_GUINT64_FORMAT,
			   publish->key, offset);
}

/* Sets the result from the store once the store has applied the command. */
static bool set_result_from_store(struct publish *publish)
{
	struct config_command command;

	if (!config_store_command(publish->task->store, publish->operator_name,
				  publish->command_id, &command))
		return false;
	if (command.content !=
	    config_content_hash(publish->key, publish->value))
		set_result(publish, CONFIG_PUBLISH_INVALID, command.offset,
			   "the id %s was used for another command",
			   publish->command_id);
	else if (command.outcome == CONFIG_APPLIED)
		set_applied(publish, command.offset);
	else if (command.outcome == CONFIG_CONFLICT)
		set_conflict(publish, command.revision);
	else
		set_result(publish, CONFIG_PUBLISH_INVALID, command.offset,
			   "the change was invalid and had no effect");
	return true;
}

static void check_before_append(struct publish *publish)
{
	struct config_task *task = publish->task;
	uint64_t current = config_store_key_revision(task->store, publish->key);

	if (set_result_from_store(publish))
		return;
	if (config_key_check(publish->key, publish->value) !=
	    CONFIG_CHECK_VALID)
		set_result(publish, CONFIG_PUBLISH_INVALID, 0, "%s",
			   error_last());
	else if (!task->synced)
		set_result(publish, CONFIG_PUBLISH_NOT_APPLIED, 0,
			   "this node has not loaded the configuration yet");
	else if (!task->super.node->log)
		set_result(publish, CONFIG_PUBLISH_NOT_APPLIED, 0,
			   "no log service is configured");
	else if (publish->base_revision && current > publish->base_revision)
		set_conflict(publish, current);
	if (!publish->base_revision)
		publish->base_revision = config_store_revision(task->store);
}

static void on_appended(void *ctx, enum log_service_status status,
			uint64_t offset)
{
	struct publish *publish = ctx;
	struct config_task *task = publish->task;

	publish->appending = false;
	if (status == LOG_SERVICE_OK) {
		publish->stored = true;
		log_debug(PART,
			  "command %s is at offset %" G_GUINT64_FORMAT
			  " of the log",
			  publish->command_id, offset);
	} else if (status == LOG_SERVICE_REFUSED && !publish->in_doubt) {
		set_result(publish, CONFIG_PUBLISH_NOT_APPLIED, 0,
			   "the log refuses appends now; nothing was changed");
	} else {
		publish->in_doubt = true;
		publish->append_at_ms =
			node_now_ms(task->super.node) + APPEND_RETRY_MS;
	}
	config_publishes_check(task);
}

static void publish_append(struct publish *publish)
{
	struct log_service *log = publish->task->super.node->log;
	Briarplank__ConfigAppend message = BRIARPLANK__CONFIG_APPEND__INIT;
	Briarplank__ConfigRecord record = BRIARPLANK__CONFIG_RECORD__INIT;
	uint8_t *bytes;
	size_t len;

	record.command_id = publish->command_id;
	record.operator_name = publish->operator_name;
	record.key = publish->key;
	record.value = publish->value;
	record.base_revision = publish->base_revision;
	record.published_ms = node_wall_ms();
	message.record = &record;
	len = briarplank__config_append__get_packed_size(&message);
	bytes = g_malloc(len);
	briarplank__config_append__pack(&message, bytes);
	publish->appending = true;
	log->ops->append(log, CONFIG_STREAM, bytes, len, on_appended, publish);
	g_free(bytes);
}

static void publish_finish(struct publish *publish)
{
	publish->done(publish->ctx, &publish->result);
	publish_free(publish);
}

static void publish_retry(struct publish *publish, uint64_t now_ms)
{
	if (!publish->stored && now_ms >= publish->append_at_ms)
		publish_append(publish);
	else if (publish->stored && now_ms >= publish->read_at_ms) {
		publish->read_at_ms = now_ms + READ_RETRY_MS;
		config_request_read(publish->task);
	}
}

static void publish_check(struct publish *publish, uint64_t now_ms)
{
	if (publish->appending)
		return;
	if (!publish->has_result && (publish->stored || publish->in_doubt))
		set_result_from_store(publish);
	if (!publish->has_result && now_ms >= publish->deadline_ms)
		set_result(
			publish, CONFIG_PUBLISH_UNKNOWN, 0,
			"it is unknown whether the change was stored; retry it "
			"with the id %s",
			publish->command_id);
	if (publish->has_result)
		publish_finish(publish);
	else
		publish_retry(publish, now_ms);
}

void config_publishes_check(struct config_task *task)
{
	uint64_t now_ms = node_now_ms(task->super.node);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->publishes)
		publish_check(list_entry(pos, struct publish, link), now_ms);
}

void config_publish(struct node *node, const struct config_change *change,
		    config_publish_fn done, void *ctx)
{
	struct config_task *task = config_task_of(node);
	struct publish *publish = g_new0(struct publish, 1);

	publish->task = task;
	publish->operator_name = g_strdup(change->operator_name);
	publish->command_id = g_strdup(change->command_id);
	publish->key = g_strdup(change->key);
	publish->value = g_strdup(change->value);
	publish->base_revision = change->base_revision;
	publish->done = done;
	publish->ctx = ctx;
	publish->deadline_ms = node_now_ms(node) + PUBLISH_TIMEOUT_MS;
	list_append(&task->publishes, &publish->link);
	check_before_append(publish);
	if (!publish->has_result)
		publish_append(publish);
}
