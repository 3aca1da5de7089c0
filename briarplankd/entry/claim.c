/*
 * Claims idempotency keys. A request that must run at most once across all
 * entries is dispatched only after its claim is known to be the first for the
 * key in the log.
 */
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "common/log.h"
#include "core/shard_claims.h"

#define PART "online"

/* Interval of resends to the owner of the key's shard, in ms. */
#define RESEND_INTERVAL_MS 500
/* Time after which a request whose claim isn't decided is refused, in ms. */
#define CLAIM_TIMEOUT_MS 3000
/* Time after which the entry gives up sending the release of a key, in ms. */
#define RELEASE_TIMEOUT_MS 10000

/* Release of a key whose request has not run. */
struct key_release {
	struct online_claim claim;
	char *request_id;
};

static uint64_t now_ms(const struct online_request *request)
{
	return node_now_ms(request->online->super.node);
}

/*
 * Hashes the method, service, path and body, which must be the same in all
 * requests with one idempotency key.
 */
static void hash_content(struct online_request *request, uint8_t *hash)
{
	GString *text = g_string_new(web_method(request->web));
	size_t len;
	const char *body = web_body(request->web, &len);

	g_string_append_printf(text, " %s %s\n", request->service,
			       request->path);
	g_string_append_len(text, body, (gssize)len);
	hash128_bytes(text->str, text->len, hash);
	g_string_free(text, TRUE);
}

static void send_to_owner(struct online *online, struct online_claim *claim,
			  const char *request_id, bool release)
{
	struct node *node = online->super.node;
	const char *owner = node_shard_owner(node, claim->shard);
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__ClaimKey body = BRIARPLANK__CLAIM_KEY__INIT;

	claim->retry_at_ms = node_now_ms(node) + RESEND_INTERVAL_MS;
	if (!owner)
		return;
	body.call_id = claim->call_id;
	body.shard = claim->shard;
	body.key_hash.data = claim->key_hash;
	body.key_hash.len = sizeof(claim->key_hash);
	body.content_hash.data = claim->content_hash;
	body.content_hash.len = sizeof(claim->content_hash);
	body.request_id = (char *)request_id;
	body.release = release;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CLAIM_KEY;
	env.claim_key = &body;
	bus_send(node->bus, owner, &env);
}

static void send_claim(struct online_request *request)
{
	send_to_owner(request->online, request->claim, request->id, false);
}

static void release_free(void *data)
{
	struct key_release *release = data;

	g_free(release->request_id);
	g_free(release);
}

/* Releases the key of a request that has not run and never will. */
static void release_key(struct online_request *request)
{
	struct online *online = request->online;
	struct key_release *release = g_new0(struct key_release, 1);

	release->claim = *request->claim;
	release->claim.call_id = ++online->next_claim;
	release->claim.give_up_ms = now_ms(request) + RELEASE_TIMEOUT_MS;
	release->request_id = g_strdup(request->id);
	g_hash_table_insert(online->releases, &release->claim.call_id, release);
	send_to_owner(online, &release->claim, release->request_id, true);
}

void online_claim_retry_releases(struct online *online)
{
	uint64_t now = node_now_ms(online->super.node);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, online->releases);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct key_release *release = value;

		if (now >= release->claim.give_up_ms)
			g_hash_table_iter_remove(&iter);
		else if (now >= release->claim.retry_at_ms)
			send_to_owner(online, &release->claim,
				      release->request_id, true);
	}
}

void online_claim_begin(struct online_request *request, const char *key)
{
	struct online *online = request->online;
	struct online_claim *claim = g_new0(struct online_claim, 1);

	request->claim = claim;
	claim->call_id = ++online->next_claim;
	hash128_pair(request->caller, key, claim->key_hash);
	hash_content(request, claim->content_hash);
	claim->shard = shard_of_hash(
		claim->key_hash,
		request->online->super.node->settings->ledger_shards);
	claim->give_up_ms = now_ms(request) + CLAIM_TIMEOUT_MS;
	g_hash_table_insert(online->claims, &claim->call_id, request);
	send_claim(request);
	online_request_arm_timer(request);
}

static void claim_free(struct online_request *request)
{
	if (!request->claim)
		return;
	g_hash_table_remove(request->online->claims, &request->claim->call_id);
	g_free(request->claim);
	request->claim = NULL;
}

void online_claim_end(struct online_request *request)
{
	if (request->claim &&
	    outcome_statement(&request->outcome) == OUTCOME_NOT_RUN)
		release_key(request);
	claim_free(request);
}

bool online_claim_is_pending(const struct online_request *request)
{
	return request->claim && !request->claim->won;
}

void online_claim_retry(struct online_request *request, uint64_t now)
{
	if (now >= request->claim->give_up_ms) {
		online_request_give_up(request, "the key could not be claimed");
		return;
	}
	send_claim(request);
	online_request_arm_timer(request);
}

static void refuse_claimed_key(struct online_request *request,
			       const char *winner)
{
	/* The answer states the outcome of the earlier call, which may have run. */
	request->outcome.may_have_run = true;
	log_debug(PART, "%s: idempotency key already claimed by %s",
		  request->id, winner);
	online_request_finish(request, 409, "Key in use",
			      "the idempotency key was claimed before");
}

static void on_reply(void *ctx, const Briarplank__Envelope *env)
{
	struct online *online = ctx;
	const Briarplank__ClaimKeyReply *reply = env->claim_key_reply;
	struct online_request *request =
		g_hash_table_lookup(online->claims, &reply->call_id);

	if (reply->code == BRIARPLANK__CLAIM_KEY_REPLY__CODE__RELEASED)
		g_hash_table_remove(online->releases, &reply->call_id);
	if (!request || !online_claim_is_pending(request) ||
	    reply->code == BRIARPLANK__CLAIM_KEY_REPLY__CODE__NOT_OWNER)
		return;
	switch (reply->code) {
	case BRIARPLANK__CLAIM_KEY_REPLY__CODE__WON:
		request->claim->won = true;
		online_dispatch(request);
		break;
	case BRIARPLANK__CLAIM_KEY_REPLY__CODE__LOST:
		claim_free(request);
		refuse_claimed_key(request, reply->winner_request_id);
		break;
	case BRIARPLANK__CLAIM_KEY_REPLY__CODE__CONFLICT:
		claim_free(request);
		online_request_finish(request, 422, "Key of another request",
				      "the idempotency key came with other "
				      "content before");
		break;
	default:
		online_request_give_up(request, "the key could not be claimed");
	}
}

void online_claim_init(struct online *online)
{
	online->claims = g_hash_table_new(g_int64_hash, g_int64_equal);
	online->releases = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, release_free);
	bus_set_handler(online->super.node->bus,
			BRIARPLANK__ENVELOPE__BODY_CLAIM_KEY_REPLY, on_reply,
			online);
}
