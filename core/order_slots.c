/*
 * Claims and grants of change slots, built from the records of the log.
 */
#include <string.h>

#include <glib.h>

#include "core/order_slots.h"

/* Maximum time limit of a claim, in ms. */
#define LIMIT_MAX_MS (4 * 3600 * 1000)

struct claim {
	uint64_t ends_ms;
	char *agent;
	char *service;
};

struct order_slots {
	uint64_t next_offset;
	/*
	 * Open claims of change slots (struct claim) in the order of their
	 * offsets.
	 */
	GPtrArray *claims;
	/* Agents whose last release said that the server can't serve. */
	GHashTable *unready;
};

static void claim_free(void *data)
{
	struct claim *claim = data;

	g_free(claim->agent);
	g_free(claim->service);
	g_free(claim);
}

struct order_slots *order_slots_create(void)
{
	struct order_slots *slots = g_new0(struct order_slots, 1);

	slots->next_offset = 1;
	slots->claims = g_ptr_array_new_with_free_func(claim_free);
	slots->unready =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return slots;
}

void order_slots_destroy(struct order_slots *slots)
{
	g_ptr_array_free(slots->claims, TRUE);
	g_hash_table_destroy(slots->unready);
	g_free(slots);
}

uint64_t order_slots_next_offset(const struct order_slots *slots)
{
	return slots->next_offset;
}

void order_slots_advance(struct order_slots *slots, uint64_t next_offset)
{
	slots->next_offset = MAX(slots->next_offset, next_offset);
}

/* Returns an agent's claim, or NULL. Each agent has at most one. */
static struct claim *find_claim(const struct order_slots *slots,
				const char *agent)
{
	guint i;

	for (i = 0; i < slots->claims->len; i++) {
		struct claim *claim = slots->claims->pdata[i];

		if (!strcmp(claim->agent, agent))
			return claim;
	}
	return NULL;
}

/*
 * Adds a claim, or extends the agent's open claim, which keeps its place in the
 * order.
 */
static void apply_claim(struct order_slots *slots, uint64_t stored_ms,
			const Briarplank__OrderSlot *record)
{
	struct claim *claim = find_claim(slots, record->agent);

	if (claim && claim->ends_ms <= stored_ms) {
		g_ptr_array_remove(slots->claims, claim);
		claim = NULL;
	}
	if (!claim) {
		claim = g_new0(struct claim, 1);
		claim->agent = g_strdup(record->agent);
		claim->service = g_strdup(record->service);
		g_ptr_array_add(slots->claims, claim);
	}
	claim->ends_ms = stored_ms + MIN(record->limit_ms, LIMIT_MAX_MS);
}

static void apply_release(struct order_slots *slots,
			  const Briarplank__OrderSlot *record)
{
	struct claim *claim = find_claim(slots, record->agent);

	if (claim)
		g_ptr_array_remove(slots->claims, claim);
	if (record->ready)
		g_hash_table_remove(slots->unready, record->agent);
	else
		g_hash_table_add(slots->unready, g_strdup(record->agent));
}

void order_slots_apply(struct order_slots *slots, uint64_t offset,
		       uint64_t stored_ms, const Briarplank__OrderSlot *record)
{
	if (offset < slots->next_offset)
		return;
	slots->next_offset = offset + 1;
	if (!record || !*record->agent)
		return;
	if (record->kind == BRIARPLANK__ORDER_SLOT__KIND__CLAIM)
		apply_claim(slots, stored_ms, record);
	else
		apply_release(slots, record);
}

/*
 * Grants claims in the order of their offsets and tells whether the agent's
 * claim is granted.
 */
static bool is_granted(const struct order_slots *slots, const char *agent,
		       unsigned max, uint64_t wall_ms)
{
	GHashTable *services = g_hash_table_new(g_str_hash, g_str_equal);
	unsigned granted = 0;
	bool found = false;
	guint i;

	for (i = 0; i < slots->claims->len && granted < max && !found; i++) {
		const struct claim *claim = slots->claims->pdata[i];

		if (claim->ends_ms <= wall_ms ||
		    !g_hash_table_add(services, claim->service))
			continue;
		granted++;
		found = !strcmp(claim->agent, agent);
	}
	g_hash_table_destroy(services);
	return found;
}

enum orders_slot order_slots_state(const struct order_slots *slots,
				   const char *agent, unsigned max,
				   uint64_t wall_ms)
{
	const struct claim *claim = find_claim(slots, agent);

	if (!claim || claim->ends_ms <= wall_ms)
		return ORDERS_SLOT_NONE;
	if (is_granted(slots, agent, max, wall_ms))
		return ORDERS_SLOT_GRANTED;
	return ORDERS_SLOT_WAITING;
}

bool order_slots_serves(const struct order_slots *slots, const char *agent,
			unsigned max, uint64_t wall_ms)
{
	return !g_hash_table_contains(slots->unready, agent) &&
	       !is_granted(slots, agent, max, wall_ms);
}
