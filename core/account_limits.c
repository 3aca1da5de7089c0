#include <math.h>
#include <string.h>
#include <glib.h>

#include "core/account_limits.h"

/* Averaging period of the requests that arrive, in ms. */
#define DEMAND_MS 1000.0
/* Weight of an entry without requests, relative to the mean of all entries, and its
 * least value in requests a second. */
#define IDLE_WEIGHT 0.1
#define IDLE_WEIGHT_MIN 0.01
/* Time without a report after which an entry counts as silent unless set otherwise, in
 * ms. */
#define SILENCE_MS 700
/* Time in which what is left in the bucket is shared out once it runs low, in ms. */
#define SPREAD_MS 1000.0
/* Least part of a share that an entry keeps while the bucket is overdrawn. */
#define OVERDRAWN_SHARE 0.1
/* Requests that an entry may save up from its share, and the same as a time of its
 * share, in ms. */
#define CREDIT_MAX 2.0
#define CREDIT_MS 100.0
/* What the bucket holds after a start, as a part of the burst and in requests: the
 * earlier process may have used it. */
#define START_PART 0.5
#define START_MIN 1.5
/* Requests by which the bucket is larger than the burst, so that a burst of a single
 * request isn't held back by what other entries may have accepted meanwhile. */
#define EXTRA 1
/* Longest time until a refused request is told to return, in ms. */
#define RETRY_MAX_MS 1500.0
/* Time for which the shares of an account count as they were computed, in ms. Computing
 * them takes a look at all entries, and reports of busy accounts come much more often. */
#define SHARES_MS 20
/* Number of reports that carry a change, as datagrams get lost. */
#define REPORTS 3
/* Time without use after which an account's state is freed, in ms. Its bucket is full
 * by then. */
#define IDLE_MS 20000

/* Another entry. */
struct sharer {
	uint64_t key;
	uint64_t heard_ms;
	uint64_t latency_ms;
	bool heard;
};

/* What another entry has reported of an account. */
struct use {
	const struct sharer *sharer;
	uint32_t used;
	double rate;
	uint64_t at_ms;
};

/* How an account's limit is shared at a time; the weights are in requests a
 * second. */
struct shares {
	double own;
	double total;
	double silent;
	double unheard;
	/* Requests that others have accepted since their last reports. */
	double unreported;
	/* Requests a second that arrive at all entries. */
	double rate;
};

struct meter {
	uint64_t account;
	/* Requests that the entries that are heard may accept. */
	double level;
	/* Share of the limit that these have. */
	double group;
	/* Requests that this entry may accept while the bucket is low. */
	double credit;
	uint64_t at_ms;
	/* Requests accepted by this entry, and those that arrive at it, a second. */
	uint32_t used;
	double rate;
	uint64_t rate_at_ms;
	uint64_t used_at_ms;
	/* Number of reports that are still to carry the use, by audience. */
	unsigned unreported[AUDIENCES];
	/* How the limit was shared at a time. */
	struct shares shares;
	uint64_t shared_at_ms;
	/* Time at which the request that was refused last was told to return. */
	double retry_at_ms;
	/* Array of struct use. */
	GArray *uses;
};

struct account_limits {
	struct account_limits_options options;
	uint64_t silence_ms;
	/* Maps the key of another entry to its struct sharer *. */
	GHashTable *sharers;
	/* Maps an account to its struct meter *. */
	GHashTable *meters;
	/* Accounts whose use is to be reported, oldest first (struct meter *), by
	 * audience. */
	GQueue changed[AUDIENCES];
};

static void meter_free(gpointer data)
{
	struct meter *meter = data;

	g_array_free(meter->uses, TRUE);
	g_free(meter);
}

struct account_limits *account_limits_create(
	const struct account_limits_options *options)
{
	struct account_limits *limits = g_new0(struct account_limits, 1);
	int i;

	limits->options = *options;
	limits->silence_ms = SILENCE_MS;
	limits->sharers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	limits->meters = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, meter_free);
	for (i = 0; i < AUDIENCES; i++)
		g_queue_init(&limits->changed[i]);
	return limits;
}

void account_limits_destroy(struct account_limits *limits)
{
	int i;

	for (i = 0; i < AUDIENCES; i++)
		g_queue_clear(&limits->changed[i]);
	g_hash_table_destroy(limits->meters);
	g_hash_table_destroy(limits->sharers);
	g_free(limits);
}

void account_limits_set_silence(struct account_limits *limits, uint64_t ms)
{
	limits->silence_ms = ms;
}

static struct sharer *sharer_get(struct account_limits *limits, uint64_t key)
{
	struct sharer *sharer = g_hash_table_lookup(limits->sharers, &key);

	if (sharer)
		return sharer;
	sharer = g_new0(struct sharer, 1);
	sharer->key = key;
	g_hash_table_insert(limits->sharers, &sharer->key, sharer);
	return sharer;
}

void account_limits_expect(struct account_limits *limits, uint64_t entry)
{
	sharer_get(limits, entry);
}

void account_limits_forget(struct account_limits *limits, uint64_t entry)
{
	const struct sharer *sharer =
		g_hash_table_lookup(limits->sharers, &entry);
	GHashTableIter iter;
	gpointer value;
	guint i;

	if (!sharer)
		return;
	g_hash_table_iter_init(&iter, limits->meters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct meter *meter = value;

		for (i = meter->uses->len; i-- > 0;) {
			if (g_array_index(meter->uses, struct use, i).sharer ==
			    sharer)
				g_array_remove_index_fast(meter->uses, i);
		}
	}
	g_hash_table_remove(limits->sharers, &entry);
}

static bool is_silent(const struct account_limits *limits,
		      const struct sharer *sharer, uint64_t now_ms)
{
	return sharer->heard && now_ms - sharer->heard_ms > limits->silence_ms;
}

/* Returns the requests a second that arrive at another entry. As it reports only
 * changes, they decay while it is heard. */
static double use_rate(const struct use *use)
{
	uint64_t heard_ms = use->sharer->heard_ms;

	return use->rate * exp(-(double)(heard_ms - use->at_ms) / DEMAND_MS);
}

static double own_rate(const struct meter *meter, uint64_t now_ms)
{
	return meter->rate *
	       exp(-(double)(now_ms - meter->rate_at_ms) / DEMAND_MS);
}

static struct shares shares_of(const struct account_limits *limits,
			       const struct meter *meter, uint64_t now_ms)
{
	struct shares shares = { .rate = own_rate(meter, now_ms) };
	unsigned nr = 1 + g_hash_table_size(limits->sharers);
	GHashTableIter iter;
	gpointer value;
	double idle;
	guint i;

	for (i = 0; i < meter->uses->len; i++) {
		const struct use *use =
			&g_array_index(meter->uses, struct use, i);
		double rate = use_rate(use);

		shares.rate += rate;
		if (is_silent(limits, use->sharer, now_ms))
			shares.silent += rate;
		else
			shares.unreported +=
				rate *
				(double)(now_ms - use->sharer->heard_ms +
					 use->sharer->latency_ms) /
				1000;
	}
	idle = IDLE_WEIGHT * shares.rate / nr + IDLE_WEIGHT_MIN;
	shares.own = own_rate(meter, now_ms) + idle;
	shares.total = shares.rate + idle * nr;
	g_hash_table_iter_init(&iter, limits->sharers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct sharer *sharer = value;

		if (!sharer->heard)
			shares.unheard += idle;
		else if (is_silent(limits, sharer, now_ms))
			shares.silent += idle;
	}
	return shares;
}

/* Returns the part of the bucket that is left when entries that were never heard have
 * taken their shares. */
static double heard_part(const struct shares *shares)
{
	return 1 - shares->unheard / (shares->total - shares->silent);
}

/* Returns the requests a second that this entry may accept while the bucket is low. */
static double credit_rate(const struct meter *meter,
			  const struct account_limit *limit,
			  const struct shares *shares)
{
	double rate =
		limit->rate * meter->group + meter->level * 1000 / SPREAD_MS;

	return MAX(rate, OVERDRAWN_SHARE * limit->rate * meter->group) *
	       shares->own / (shares->total - shares->silent);
}

/* Brings a meter up to a time. */
static void advance(struct meter *meter, const struct account_limit *limit,
		    const struct shares *shares, uint64_t now_ms)
{
	double group = 1 - shares->silent / shares->total;
	double s = (double)(now_ms - meter->at_ms) / 1000;
	double rate;

	/* Silent entries take their part of what is left with them, and are taken to
	 * have used it when they are heard again. */
	if (group < meter->group && meter->level > 0)
		meter->level *= group / meter->group;
	meter->group = group;
	meter->level = MIN(meter->level + limit->rate * group * s,
			   (limit->burst + EXTRA) * group);
	rate = credit_rate(meter, limit, shares);
	meter->credit = MIN(meter->credit + rate * s,
			    MAX(CREDIT_MAX, rate * CREDIT_MS / 1000));
	meter->at_ms = now_ms;
}

static struct meter *meter_get(struct account_limits *limits, uint64_t account)
{
	struct meter *meter = g_hash_table_lookup(limits->meters, &account);

	if (meter)
		return meter;
	meter = g_new0(struct meter, 1);
	meter->account = account;
	meter->uses = g_array_new(FALSE, FALSE, sizeof(struct use));
	meter->group = 1;
	meter->level = NAN;
	g_hash_table_insert(limits->meters, &meter->account, meter);
	return meter;
}

/* Returns an account's meter, with its shares, at a time. */
static struct meter *meter_at(struct account_limits *limits,
			      const struct account_limit *limit,
			      uint64_t now_ms)
{
	struct meter *meter = meter_get(limits, limit->account);
	bool is_new = isnan(meter->level);

	if (is_new || now_ms - meter->shared_at_ms >= SHARES_MS) {
		meter->shares = shares_of(limits, meter, now_ms);
		meter->shared_at_ms = now_ms;
	}
	if (is_new) {
		meter->level = MAX(limit->burst * START_PART, START_MIN);
		meter->at_ms = limits->options.now_ms;
	}
	advance(meter, limit, &meter->shares, now_ms);
	return meter;
}

static struct use *use_get(struct meter *meter, const struct sharer *sharer)
{
	struct use use = { .sharer = sharer };
	guint i;

	for (i = 0; i < meter->uses->len; i++) {
		struct use *known = &g_array_index(meter->uses, struct use, i);

		if (known->sharer == sharer)
			return known;
	}
	g_array_append_val(meter->uses, use);
	return &g_array_index(meter->uses, struct use, meter->uses->len - 1);
}

static void hear_use(struct account_limits *limits, const struct sharer *sharer,
		     const struct account_use *heard, bool returned,
		     uint64_t now_ms)
{
	struct account_limit limit = { .account = heard->account };
	double newly = heard->used;
	struct meter *meter;
	struct use *use;

	if (!limits->options.limit_of(limits->options.ctx, heard->account,
				      &limit))
		return;
	meter = meter_at(limits, &limit, now_ms);
	use = use_get(meter, sharer);
	if (heard->used >= use->used && use->at_ms)
		newly = heard->used - use->used;
	else if (!use->at_ms)
		/* This entry may have started long after it. */
		newly = MIN(newly, 1 + heard->rate * DEMAND_MS / 1000);
	if (!returned)
		meter->level -= newly;
	if (newly > 0)
		meter->used_at_ms = now_ms;
	use->used = heard->used;
	use->rate = isfinite(heard->rate) && heard->rate > 0 ? heard->rate : 0;
	use->at_ms = now_ms;
}

void account_limits_hear(struct account_limits *limits, uint64_t entry,
			 uint64_t latency_ms, const struct account_use *uses,
			 size_t uses_nr, uint64_t now_ms)
{
	struct sharer *sharer = sharer_get(limits, entry);
	bool returned = is_silent(limits, sharer, now_ms);
	size_t i;

	sharer->heard = true;
	sharer->heard_ms = now_ms;
	sharer->latency_ms = latency_ms;
	for (i = 0; i < uses_nr; i++)
		hear_use(limits, sharer, &uses[i], returned, now_ms);
}

static void note_change(struct account_limits *limits, struct meter *meter)
{
	int i;

	for (i = 0; i < AUDIENCES; i++) {
		if (!meter->unreported[i])
			g_queue_push_tail(&limits->changed[i], meter);
		meter->unreported[i] = REPORTS;
	}
}

static void note_asked(struct account_limits *limits, struct meter *meter,
		       uint64_t now_ms)
{
	meter->rate = own_rate(meter, now_ms) + 1000 / DEMAND_MS;
	meter->rate_at_ms = now_ms;
	meter->used_at_ms = now_ms;
	note_change(limits, meter);
}

static double retry_after_ms(struct meter *meter, double rate, uint64_t now_ms)
{
	meter->retry_at_ms =
		MAX(meter->retry_at_ms, (double)now_ms) + 1000 / rate;
	meter->retry_at_ms =
		MIN(meter->retry_at_ms, (double)now_ms + RETRY_MAX_MS);
	return meter->retry_at_ms - (double)now_ms;
}

bool account_limits_admit(struct account_limits *limits,
			  const struct account_limit *limit, uint64_t now_ms,
			  double *retry_ms)
{
	struct meter *meter = meter_at(limits, limit, now_ms);
	const struct shares *shares = &meter->shares;
	double part = heard_part(shares);

	note_asked(limits, meter, now_ms);
	if (meter->level * part >= 1 + shares->unreported) {
		meter->credit = 0;
	} else if (meter->credit >= 1) {
		meter->credit -= 1;
	} else {
		*retry_ms = retry_after_ms(
			meter, credit_rate(meter, limit, shares), now_ms);
		return false;
	}
	/* Entries that aren't heard do the same at the same time. */
	meter->level -= 1 / MAX(part, shares->own / shares->total);
	meter->used++;
	return true;
}

void account_limits_report(struct account_limits *limits, uint64_t now_ms,
			   enum account_audience audience, size_t max,
			   void (*fn)(void *ctx, const struct account_use *use),
			   void *ctx)
{
	GQueue *changed = &limits->changed[audience];
	size_t nr = MIN(max, g_queue_get_length(changed));

	while (nr--) {
		struct meter *meter = g_queue_pop_head(changed);
		struct account_use use = {
			.account = meter->account,
			.used = meter->used,
			.rate = own_rate(meter, now_ms),
		};

		fn(ctx, &use);
		if (--meter->unreported[audience])
			g_queue_push_tail(changed, meter);
	}
}

void account_limits_state(struct account_limits *limits,
			  const struct account_limit *limit, uint64_t now_ms,
			  struct account_limit_state *state)
{
	const struct meter *meter = meter_at(limits, limit, now_ms);
	const struct shares *shares = &meter->shares;

	state->level = meter->level;
	state->share = shares->own / shares->total;
	state->silent_share = shares->silent / shares->total;
	state->own_rate = own_rate(meter, now_ms);
	state->rate = shares->rate;
}

void account_limits_sweep(struct account_limits *limits, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, limits->meters);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct meter *meter = value;

		if (now_ms - meter->used_at_ms < IDLE_MS ||
		    meter->unreported[AUDIENCE_REGION] ||
		    meter->unreported[AUDIENCE_ALL])
			continue;
		g_hash_table_iter_remove(&iter);
	}
}
