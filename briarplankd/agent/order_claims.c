/*
 * Claims slots for changes of the server in the log, and evaluates the claims
 * of all agents.
 */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "order_claims.h"
#include "briarplankd/config_task.h"
#include "briarplankd/members_task.h"
#include "common/log.h"

#define PART "orders"

#define STREAM "orders"
#define READ_MAX_BYTES (1 << 20)
#define READ_WAIT_MS 2000
/* Delay before a failed call to the log is repeated, in ms. */
#define RETRY_MS 1000
/* Number of agents of the same service that are watched during a change. */
#define WATCHED_AGENTS_MAX 4

struct order_claims {
	struct node *node;
	struct order_slots *slots;
	void (*changed)(void *ctx);
	void *ctx;
	/* A claim of this agent was stored in the log, at this offset. */
	bool claimed;
	uint64_t offset;
	uint64_t limit_ms;
	/* Time at which the claim expires by this node's clock. */
	uint64_t expires_ms;
	/*
	 * An append of a claim record is in flight; the fields below say what
	 * it records.
	 */
	bool appending;
	bool releasing;
	bool release_ready;
	uint64_t sent_ms;
	uint64_t retry_at_ms;
	bool reading;
	uint64_t next_read_ms;
};

struct order_claims *order_claims_create(struct node *node,
					 void (*changed)(void *ctx), void *ctx)
{
	struct order_claims *claims = g_new0(struct order_claims, 1);

	claims->node = node;
	claims->slots = order_slots_create();
	claims->changed = changed;
	claims->ctx = ctx;
	return claims;
}

void order_claims_destroy(struct order_claims *claims)
{
	order_slots_destroy(claims->slots);
	g_free(claims);
}

static uint64_t now_ms(const struct order_claims *claims)
{
	return node_now_ms(claims->node);
}

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page)
{
	struct order_claims *claims = ctx;
	size_t i;

	claims->reading = false;
	if (status != LOG_SERVICE_OK) {
		claims->next_read_ms = now_ms(claims) + RETRY_MS;
		return;
	}
	order_slots_advance(claims->slots, page->first_offset);
	for (i = 0; i < page->nr; i++) {
		const struct log_service_entry *entry = &page->entries[i];
		Briarplank__OrderSlot *record = briarplank__order_slot__unpack(
			NULL, entry->len, entry->payload);

		order_slots_apply(claims->slots, entry->offset,
				  entry->stored_ms, record);
		if (record)
			briarplank__order_slot__free_unpacked(record, NULL);
	}
	claims->changed(claims->ctx);
}

static void read_log(struct order_claims *claims)
{
	struct log_service *log = claims->node->log;

	if (claims->reading || now_ms(claims) < claims->next_read_ms)
		return;
	claims->reading = true;
	log->ops->read(log, STREAM, order_slots_next_offset(claims->slots),
		       READ_MAX_BYTES, READ_WAIT_MS, on_read, claims);
}

static void on_claimed(struct order_claims *claims, uint64_t offset)
{
	if (!claims->claimed)
		claims->offset = offset;
	claims->claimed = true;
	claims->expires_ms = claims->sent_ms + claims->limit_ms;
}

static void on_appended(void *ctx, enum log_service_status status,
			uint64_t offset)
{
	struct order_claims *claims = ctx;

	claims->appending = false;
	if (status != LOG_SERVICE_OK)
		/*
		 * The failed append may have stored its record, so a retry may
		 * store a second copy, which is harmless.
		 */
		claims->retry_at_ms = now_ms(claims) + RETRY_MS;
	else if (claims->releasing)
		claims->claimed = false;
	else
		on_claimed(claims, offset);
	claims->releasing = false;
	claims->changed(claims->ctx);
}

static void append_record(struct order_claims *claims, bool release)
{
	struct node *node = claims->node;
	Briarplank__OrderSlot record = BRIARPLANK__ORDER_SLOT__INIT;
	uint8_t *bytes;
	size_t len;

	if (claims->appending || now_ms(claims) < claims->retry_at_ms)
		return;
	record.agent = node->settings->name;
	record.incarnation = node->incarnation;
	record.service = node->settings->service;
	record.limit_ms = (uint32_t)claims->limit_ms;
	record.kind = release ? BRIARPLANK__ORDER_SLOT__KIND__RELEASE :
				BRIARPLANK__ORDER_SLOT__KIND__CLAIM;
	record.ready = claims->release_ready;
	len = briarplank__order_slot__get_packed_size(&record);
	bytes = g_malloc(len);
	briarplank__order_slot__pack(&record, bytes);
	claims->appending = true;
	claims->releasing = release;
	claims->sent_ms = now_ms(claims);
	node->log->ops->append(node->log, STREAM, bytes, len, on_appended,
			       claims);
	g_free(bytes);
}

/*
 * Watches other agents of the service, so that their state is known when this
 * server may change.
 */
static void watch_others(struct order_claims *claims)
{
	struct members *members = node_members(claims->node);
	unsigned left = WATCHED_AGENTS_MAX;
	struct list *pos;

	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role != MEMBER_AGENT || !left ||
		    strcmp(member->service, claims->node->settings->service))
			continue;
		members_request_watch(members, member->name, true);
		left--;
	}
}

void order_claims_claim(struct order_claims *claims, uint64_t limit_ms)
{
	claims->limit_ms = limit_ms;
	watch_others(claims);
	append_record(claims, false);
}

void order_claims_release(struct order_claims *claims, bool ready)
{
	claims->release_ready = ready;
	append_record(claims, true);
}

bool order_claims_stop(struct order_claims *claims, bool ready)
{
	if (claims->appending)
		return false;
	if (!claims->claimed || now_ms(claims) < claims->retry_at_ms)
		return true;
	order_claims_release(claims, ready);
	return false;
}

static uint64_t remaining_ms(const struct order_claims *claims)
{
	uint64_t now = now_ms(claims);

	return claims->expires_ms > now ? claims->expires_ms - now : 0;
}

enum orders_slot order_claims_state(struct order_claims *claims)
{
	enum orders_slot state;

	if (!claims->claimed)
		return ORDERS_SLOT_NONE;
	if (!remaining_ms(claims)) {
		claims->claimed = false;
		return ORDERS_SLOT_NONE;
	}
	/* Earlier records affect the result, so they must be read first. */
	if (order_slots_next_offset(claims->slots) <= claims->offset ||
	    remaining_ms(claims) < claims->limit_ms / 2)
		return ORDERS_SLOT_WAITING;
	state = order_slots_state(claims->slots, claims->node->settings->name,
				  order_claims_max(claims), node_wall_ms());
	return state == ORDERS_SLOT_NONE ? ORDERS_SLOT_WAITING : state;
}

void order_claims_tick(struct order_claims *claims)
{
	if (!claims->claimed)
		return;
	read_log(claims);
	if (remaining_ms(claims) < claims->limit_ms * 3 / 4)
		append_record(claims, false);
}

unsigned order_claims_others_ready(struct order_claims *claims)
{
	struct node *node = claims->node;
	unsigned max = order_claims_max(claims);
	uint64_t wall_ms = node_wall_ms();
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role != MEMBER_AGENT || !member_usable(member) ||
		    member->state != MEMBER_UP ||
		    strcmp(member->service, node->settings->service))
			continue;
		if (!config_server_drained(node, member->name) &&
		    order_slots_serves(claims->slots, member->name, max,
				       wall_ms))
			nr++;
	}
	return nr;
}

unsigned order_claims_max(struct order_claims *claims)
{
	const char *text = config_value(claims->node, "orders.max_changes");

	return text ? (unsigned)strtoul(text, NULL, 10) : 1;
}
