#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "core/stream_origins.h"
#include "directory.h"
#include "peers.h"
#include "software_history.h"
#include "stream_share.h"

/* Number of entries in this region, and in others, that are told of a stream. */
#define TOLD_NEAR 2
#define TOLD_FAR 1
/* Number of entries in this region, and in others, that are asked for one. It is larger,
 * as entries may differ in whom they take to be alive. */
#define ASKED_NEAR 8
#define ASKED_FAR 8
/* Time after which a question is sent again, and given up, in ms: a bit more than a round
 * trip between regions each. */
#define ASK_AGAIN_MS 80
#define ASK_TIMEOUT_MS 200
/* Time after which the list of servers isn't awaited any longer, and interval at which it
 * is checked, in ms. */
#define LIST_TIMEOUT_MS 600
#define QUESTION_CHECK_MS 10
/* Interval at which services with one version are checked for a second one, in ms. */
#define CHECK_INTERVAL_MS 200

struct stream_share {
	struct gateway *gateway;
	struct stream_origins *origins;
	uv_timer_t timer;
	/* Streams that were not told to others, as these can conclude their version: set of
	 * struct untold by their route, service and weights. */
	GHashTable *untold;
	struct list questions;
};

struct untold {
	uint64_t hash;
	char *route;
	uint64_t picks;
	char *service;
};

struct stream_question {
	struct list link;
	struct stream_share *share;
	uint64_t id;
	uint64_t stream;
	char *attempt;
	char *route;
	uint64_t picks;
	/* Service that the route picks; NULL if it can't tell. */
	char *service;
	uint64_t ttl_ms;
	/* The version that began the stream; 0 until it is known. */
	uint64_t software;
	/* Addresses of the entries that have not answered. */
	uint64_t asked[ASKED_NEAR + ASKED_FAR];
	unsigned asked_nr;
	bool asked_again;
	uint64_t started_ms;
	uv_timer_t timer;
	void (*done)(void *ctx, uint64_t software);
	void *ctx;
};

static uint64_t now_ms(const struct stream_share *share)
{
	return uv_now(share->gateway->loop);
}

/* Returns the only version that has served for as long as streams are remembered, or 0
 * if there were several or this entry can't tell. */
static uint64_t sole_software(const struct stream_share *share,
			      const char *service, uint64_t ttl_ms)
{
	struct gateway *gateway = share->gateway;
	uint64_t known_ms = directory_known_for_ms(gateway->directory);
	uint64_t now = now_ms(share);

	if (!known_ms)
		return 0;
	if (known_ms < ttl_ms)
		return software_history_sole(gateway->software_history, service,
					     ttl_ms);
	return fleet_sole_software(gateway->fleet, service,
				   now > ttl_ms ? now - ttl_ms : 0);
}

/* Returns the version that began a stream as any entry can conclude it, or 0: the route has
 * picked the same service for as long as streams are remembered, and that has had one
 * version. */
static uint64_t concluded_software(const struct stream_share *share,
				   const struct stream_name *name,
				   uint64_t ttl_ms)
{
	const struct gateway *gateway = share->gateway;

	if (!name->service ||
	    !directory_config_is_current(gateway->directory) ||
	    !software_history_route_steady(gateway->software_history,
					   name->route, name->picks, ttl_ms))
		return 0;
	return sole_software(share, name->service, ttl_ms);
}

static void send_origin(struct stream_share *share, uint64_t address,
			StreamOrigin *origin)
{
	StreamOrigin *origins[] = { origin };
	NodeLoad message = NODE_LOAD__INIT;

	message.origins = origins;
	message.n_origins = 1;
	peers_send(share->gateway->peers, address, &message);
}

static void tell(void *ctx, const struct stream_origin *origin)
{
	struct stream_share *share = ctx;
	uint64_t addresses[TOLD_NEAR + TOLD_FAR];
	StreamOrigin message = STREAM_ORIGIN__INIT;
	unsigned i, nr;

	message.stream = origin->stream;
	message.software = origin->software;
	message.ttl_ms = (uint32_t)(origin->expires_ms - now_ms(share));
	nr = peers_choose(share->gateway->peers, origin->stream, true,
			  addresses, TOLD_NEAR);
	nr += peers_choose(share->gateway->peers, origin->stream, false,
			   addresses + nr, TOLD_FAR);
	for (i = 0; i < nr; i++)
		send_origin(share, addresses[i], &message);
}

static void untold_free(gpointer data)
{
	struct untold *untold = data;

	g_free(untold->route);
	g_free(untold->service);
	g_free(untold);
}

static void note_untold(struct stream_share *share,
			const struct stream_name *name)
{
	uint64_t hash = hash_combine(
		hash_combine(hash_string(name->route, 0), name->picks),
		hash_string(name->service, 0));
	struct untold *untold;

	if (g_hash_table_contains(share->untold, &hash))
		return;
	untold = g_new0(struct untold, 1);
	untold->hash = hash;
	untold->route = g_strdup(name->route);
	untold->picks = name->picks;
	untold->service = g_strdup(name->service);
	g_hash_table_insert(share->untold, &untold->hash, untold);
}

void stream_share_begun(struct stream_share *share,
			const struct stream_name *name, uint64_t software)
{
	uint64_t ttl_ms = stream_origin_ttl_ms(name->timeout_ms);
	struct stream_origin origin = {
		.stream = hash_string(name->attempt, 0),
		.software = software,
		.own = true,
		.expires_ms = now_ms(share) + ttl_ms,
	};

	stream_origins_add(share->origins, &origin, now_ms(share));
	if (concluded_software(share, name, ttl_ms) == software)
		note_untold(share, name);
	else
		tell(share, &origin);
}

/* Tells the streams that this entry has begun once others can't conclude where: a service
 * gets a second version, or a route other weights. */
static void on_check(uv_timer_t *timer)
{
	struct stream_share *share = timer->data;
	GHashTableIter iter;
	gpointer value;
	bool several = false;

	g_hash_table_iter_init(&iter, share->untold);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct untold *untold = value;
		struct stream_name name = {
			.route = untold->route,
			.picks = untold->picks,
			.service = untold->service,
		};

		if (concluded_software(share, &name, STREAM_ORIGIN_MS))
			continue;
		log_event("stream", LOG_LEVEL_INFO,
			  "route=%s service=%s has other weights or several "
			  "software versions, or none is known; other entries "
			  "are told of its streams",
			  untold->route, untold->service);
		several = true;
		g_hash_table_iter_remove(&iter);
	}
	if (several)
		stream_origins_each_own(share->origins, now_ms(share), tell,
					share);
}

uint64_t stream_share_find(struct stream_share *share,
			   const struct stream_name *name)
{
	if (!name->attempt)
		return 0;
	return stream_origins_find(
		share->origins, hash_string(name->attempt, 0), now_ms(share));
}

/* Functions that ask other entries. */

static void on_question_closed(uv_handle_t *handle)
{
	struct stream_question *question = handle->data;

	g_free(question->attempt);
	g_free(question->route);
	g_free(question->service);
	g_free(question);
}

void stream_question_cancel(struct stream_question *question)
{
	list_remove(&question->link);
	uv_timer_stop(&question->timer);
	uv_close((uv_handle_t *)&question->timer, on_question_closed);
}

static void question_end(struct stream_question *question, const char *reason)
{
	void (*done)(void *ctx, uint64_t software) = question->done;
	uint64_t software = question->software;
	uint64_t now = now_ms(question->share);
	void *ctx = question->ctx;

	log_event("stream", software ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "attempt=%s route=%s service=%s software=%016" PRIx64
		  " %s unanswered=%u list_age_ms=%" PRIu64 " ms=%" PRIu64,
		  question->attempt ? question->attempt : "-", question->route,
		  question->service ? question->service : "-", software, reason,
		  question->asked_nr,
		  now - directory_servers_as_of_ms(
				question->share->gateway->directory),
		  now - question->started_ms);
	stream_question_cancel(question);
	done(ctx, software);
}

static void send_question(struct stream_question *question)
{
	StreamOrigin message = STREAM_ORIGIN__INIT;
	unsigned i;

	message.stream = question->stream;
	message.question = question->id;
	message.asked = true;
	message.service = question->service ? question->service : "";
	message.ttl_ms = (uint32_t)question->ttl_ms;
	for (i = 0; i < question->asked_nr; i++)
		send_origin(question->share, question->asked[i], &message);
}

/* Tells whether the list of servers shows all that were listed when the question was
 * asked: the stream can't have begun at any other. */
static bool list_is_new(const struct stream_question *question)
{
	const struct directory *directory = question->share->gateway->directory;

	return directory_servers_as_of_ms(directory) >= question->started_ms &&
	       directory_known_for_ms(directory);
}

/* Tells whether the list has a server at which the stream can go on. */
static bool has_server(const struct stream_question *question)
{
	return fleet_software_serves(question->share->gateway->fleet,
				     question->software);
}

static void question_check(struct stream_question *question)
{
	struct stream_share *share = question->share;
	uint64_t elapsed = now_ms(share) - question->started_ms;
	bool asked = !question->asked_nr || elapsed >= ASK_TIMEOUT_MS;
	bool listed = list_is_new(question);

	if (!listed && elapsed < LIST_TIMEOUT_MS)
		directory_refresh_servers(share->gateway->directory);
	if (!question->software && listed) {
		struct stream_name name = {
			.route = question->route,
			.picks = question->picks,
			.service = question->service,
		};

		question->software =
			concluded_software(share, &name, question->ttl_ms);
		if (question->software) {
			question_end(question, "only one version serves");
			return;
		}
	}
	if (question->software && (listed || has_server(question)))
		question_end(question, "known");
	else if ((listed || elapsed >= LIST_TIMEOUT_MS) &&
		 (question->software || asked))
		question_end(question, question->software ?
					       "known, but to no server here" :
					       "unknown");
}

static void on_question_timer(uv_timer_t *timer)
{
	struct stream_question *question = timer->data;

	if (!question->asked_again && question->asked_nr &&
	    now_ms(question->share) - question->started_ms >= ASK_AGAIN_MS) {
		question->asked_again = true;
		send_question(question);
	}
	question_check(question);
}

struct stream_question *stream_share_ask(
	struct stream_share *share, const struct stream_name *name,
	uint64_t known, void (*done)(void *ctx, uint64_t software), void *ctx)
{
	struct stream_question *question = g_new0(struct stream_question, 1);
	struct peers *peers = share->gateway->peers;

	question->share = share;
	question->id = gateway_random() | 1;
	question->attempt = g_strdup(name->attempt);
	question->route = g_strdup(name->route);
	question->picks = name->picks;
	question->service = g_strdup(name->service);
	question->ttl_ms = stream_origin_ttl_ms(name->timeout_ms);
	question->stream = name->attempt ? hash_string(name->attempt, 0) : 0;
	question->started_ms = now_ms(share);
	question->done = done;
	question->ctx = ctx;
	question->software = known;
	if (!known) {
		question->asked_nr = peers_choose(peers, question->stream, true,
						  question->asked, ASKED_NEAR);
		question->asked_nr += peers_choose(
			peers, question->stream, false,
			question->asked + question->asked_nr, ASKED_FAR);
	}
	list_append(&share->questions, &question->link);
	uv_timer_init(share->gateway->loop, &question->timer);
	question->timer.data = question;
	uv_timer_start(&question->timer, on_question_timer, 0,
		       QUESTION_CHECK_MS);
	send_question(question);
	return question;
}

/* Functions that handle messages of other entries. */

static void answer(struct stream_share *share, const StreamOrigin *asked,
		   uint64_t from)
{
	StreamOrigin message = STREAM_ORIGIN__INIT;

	message.stream = asked->stream;
	message.question = asked->question;
	message.software = stream_origins_find(share->origins, asked->stream,
					       now_ms(share));
	send_origin(share, from, &message);
}

/* Removes an entry from those that have not answered. */
static void note_answered(struct stream_question *question, uint64_t from)
{
	unsigned i;

	for (i = 0; i < question->asked_nr; i++) {
		if (question->asked[i] == from) {
			question->asked[i] =
				question->asked[--question->asked_nr];
			return;
		}
	}
}

static void apply_answer(struct stream_share *share,
			 const StreamOrigin *message, uint64_t from)
{
	struct list *pos;

	list_for_each (pos, &share->questions) {
		struct stream_question *question =
			list_entry(pos, struct stream_question, link);

		if (question->id != message->question)
			continue;
		note_answered(question, from);
		if (message->software)
			question->software = message->software;
		question_check(question);
		return;
	}
}

static void apply_told(struct stream_share *share, const StreamOrigin *message)
{
	struct stream_origin origin = {
		.stream = message->stream,
		.software = message->software,
		.expires_ms = now_ms(share) + message->ttl_ms,
	};

	if (origin.stream && origin.software)
		stream_origins_add(share->origins, &origin, now_ms(share));
}

void stream_share_receive(struct stream_share *share, const NodeLoad *message,
			  uint64_t from)
{
	size_t i;

	for (i = 0; i < message->n_origins; i++) {
		const StreamOrigin *origin = message->origins[i];

		if (origin->asked)
			answer(share, origin, from);
		else if (origin->question)
			apply_answer(share, origin, from);
		else
			apply_told(share, origin);
	}
}

struct stream_share *stream_share_create(struct gateway *gateway)
{
	struct stream_share *share = g_new0(struct stream_share, 1);

	share->gateway = gateway;
	share->origins = stream_origins_create();
	share->untold = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					      untold_free);
	list_init(&share->questions);
	uv_timer_init(gateway->loop, &share->timer);
	share->timer.data = share;
	uv_timer_start(&share->timer, on_check, CHECK_INTERVAL_MS,
		       CHECK_INTERVAL_MS);
	return share;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void stream_share_destroy(struct stream_share *share)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &share->questions)
		stream_question_cancel(
			list_entry(pos, struct stream_question, link));
	stream_origins_destroy(share->origins);
	g_hash_table_destroy(share->untold);
	uv_close((uv_handle_t *)&share->timer, on_closed);
}
