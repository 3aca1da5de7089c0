#include <string.h>

#include "core/admission.h"
#include "core/send_window.h"
#include "peers.h"
#include "waiting_room.h"

#define US_PER_MS 1000
/* Most requests of one rank that wait, at one service. */
#define WAITING_MAX 512
/* Work, in tokens, for which an account's turn lasts: a small request. */
#define TURN_TOKENS 64
/* Part of the window that requests may take that are late anyway. */
#define OVERDUE_PART 0.5
/* Interval at which room is looked for while requests wait, in ms. Load reports of the
 * other entries arrive about as often. */
#define PUMP_INTERVAL_MS 15
/* Bounds of Retry-After, in s. */
#define RETRY_MIN_S 0.15
#define RETRY_MAX_S 1.5

/* Requests that wait with the same urgency: lower comes first. */
struct waiting_class {
	struct list link;
	int urgency;
	struct admission *queue;
};

struct service_room {
	struct list link;
	char *name;
	struct send_window window;
	/* Requests of this entry at the servers. */
	unsigned outstanding;
	/* Sorted by urgency. */
	struct list classes;
};

struct waiting_room {
	struct gateway *gateway;
	struct list services;
	uv_timer_t timer;
	unsigned waiting;
	/* Requests that wait are being dispatched. */
	bool pumping;
	struct histogram *wait_us;
	/* Maps a route to the longest time that a caller has given, in ms. */
	GHashTable *times;
};

static uint64_t now_us(const struct waiting_room *room)
{
	return uv_now(room->gateway->loop) * US_PER_MS;
}

static struct service_room *service_of(struct waiting_room *room,
				       const char *name)
{
	struct service_room *service;
	struct list *pos;

	list_for_each (pos, &room->services) {
		service = list_entry(pos, struct service_room, link);
		if (!strcmp(service->name, name))
			return service;
	}
	service = g_new0(struct service_room, 1);
	service->name = g_strdup(name);
	list_init(&service->classes);
	list_append(&room->services, &service->link);
	return service;
}

static struct waiting_class *class_of(struct service_room *service, int urgency)
{
	struct admission_options options = {
		.max_waiting = WAITING_MAX,
		.quantum = TURN_TOKENS,
	};
	struct waiting_class *class;
	struct list *pos;

	list_for_each (pos, &service->classes) {
		class = list_entry(pos, struct waiting_class, link);
		if (class->urgency == urgency)
			return class;
		if (class->urgency > urgency)
			break;
	}
	class = g_new0(struct waiting_class, 1);
	class->urgency = urgency;
	class->queue = admission_create(&options);
	list_insert(pos->prev, &class->link);
	return class;
}

/* Ranks come first; the route's rank decides among accounts of one rank. Requests whose
 * objective has passed wait behind the others of their rank, as they are late anyway. */
static int urgency_of(const struct gateway_request *request)
{
	return request->rank * 2 + request->overdue;
}

static struct send_window_fleet fleet_of(const struct waiting_room *room,
					 const char *service)
{
	struct send_window_fleet fleet = {
		.slots = fleet_slots(room->gateway->fleet, service,
				     uv_now(room->gateway->loop)),
		.entries = peers_entries(room->gateway->peers),
	};

	return fleet;
}

/* Tells whether a request of at least this urgency waits. */
static bool is_ahead(const struct service_room *service, int urgency)
{
	struct list *pos;

	list_for_each (pos, &service->classes) {
		const struct waiting_class *class =
			list_entry(pos, struct waiting_class, link);

		if (class->urgency > urgency)
			return false;
		if (admission_waiting(class->queue))
			return true;
	}
	return false;
}

/* Tells whether the window of a service has room. */
static bool is_open(struct waiting_room *room, struct service_room *service,
		    bool overdue)
{
	struct send_window_fleet fleet = fleet_of(room, service->name);

	return send_window_is_open(
		&service->window, &fleet,
		overdue ? (unsigned)(service->outstanding / OVERDUE_PART) :
			  service->outstanding);
}

/* Returns the time until which a request may wait: it must still reach its objective, or
 * its deadline if that has passed. */
static uint64_t latest_start_ms(const struct gateway_request *request)
{
	uint64_t end_ms = request->overdue ?
				  request->deadline_ms :
				  request->arrived_ms + request->objective_ms;
	uint64_t first_ms = (uint64_t)request->inputs.first_ms;

	return end_ms > first_ms ? end_ms - first_ms : 0;
}

static void on_timer(uv_timer_t *timer);

static void pump_later(struct waiting_room *room, uint64_t ms)
{
	if (!uv_is_active((uv_handle_t *)&room->timer))
		uv_timer_start(&room->timer, on_timer, ms, 0);
}

static enum waiting_verdict hold(struct waiting_room *room,
				 struct service_room *service,
				 struct gateway_request *request,
				 double *retry_s)
{
	struct waiting_class *class = class_of(service, urgency_of(request));
	struct admission_request waiting = {
		.owner = request,
		.caller = request->account ? request->account : "",
		.deadline_us = latest_start_ms(request) * US_PER_MS,
		.cost = request->work,
	};
	uint64_t retry_us;

	if (admission_enqueue(class->queue, &waiting, service->outstanding,
			      (unsigned)service->window.size, now_us(room),
			      &retry_us) != ADMISSION_QUEUED) {
		*retry_s = CLAMP((double)retry_us / US_PER_MS / 1000,
				 RETRY_MIN_S, RETRY_MAX_S);
		return WAITING_REFUSE;
	}
	request->waiting = true;
	room->waiting++;
	pump_later(room, PUMP_INTERVAL_MS);
	return WAITING_HELD;
}

enum waiting_verdict waiting_room_enter(struct waiting_room *room,
					struct gateway_request *request,
					double wait_ms, double *retry_s)
{
	struct service_room *service = service_of(room, request->service);
	bool open, ahead;

	if (gateway_request_now(request) - request->arrived_ms +
		    request->inputs.first_ms >
	    request->objective_ms)
		request->overdue = true;
	open = is_open(room, service, request->overdue);
	ahead = !room->pumping && is_ahead(service, urgency_of(request));

	/* A request that is late anyway takes no place in a server's queue. */
	if (open && !ahead && (!request->overdue || wait_ms <= 0))
		return WAITING_SEND;
	return hold(room, service, request, retry_s);
}

void waiting_room_leave(struct waiting_room *room,
			struct gateway_request *request)
{
	struct service_room *service;

	if (!request->waiting)
		return;
	service = service_of(room, request->service);
	admission_remove(class_of(service, urgency_of(request))->queue,
			 request);
	request->waiting = false;
	room->waiting--;
}

void waiting_room_note_sent(struct waiting_room *room,
			    struct gateway_request *request)
{
	service_of(room, request->service)->outstanding++;
	histogram_record(room->wait_us,
			 (gateway_request_now(request) - request->arrived_ms) *
				 US_PER_MS);
}

void waiting_room_note_ended(struct waiting_room *room,
			     struct gateway_request *request)
{
	struct service_room *service = service_of(room, request->service);
	struct send_window_fleet fleet = fleet_of(room, request->service);
	uint64_t now = gateway_request_now(request);
	struct list *pos;

	if (request->first_ms >= request->sent_ms && request->first_ms)
		send_window_answered(
			&service->window, &fleet, service->outstanding,
			(double)(request->first_ms - request->sent_ms),
			request->objective_ms, now);
	if (service->outstanding)
		service->outstanding--;
	list_for_each (pos, &service->classes)
		admission_record_service(
			list_entry(pos, struct waiting_class, link)->queue,
			(now - request->sent_ms) * US_PER_MS);
	if (room->waiting)
		pump_later(room, 0);
}

static void take(struct waiting_room *room, struct gateway_request *request)
{
	request->waiting = false;
	room->waiting--;
}

/* Ends the requests that can no longer be served in time. */
static void refuse_expired(struct waiting_room *room,
			   struct waiting_class *class)
{
	struct gateway_request *request;

	while ((request = admission_expired(class->queue, now_us(room)))) {
		take(room, request);
		gateway_request_refuse(request, 503, RETRY_MIN_S,
				       "no room within its time");
	}
}

/* Dispatches requests of a class until one has to wait; returns false then. */
static bool pump_class(struct waiting_room *room, struct service_room *service,
		       struct waiting_class *class)
{
	bool overdue = class->urgency % 2;
	struct gateway_request *request;

	while (is_open(room, service, overdue) &&
	       (request = admission_next(class->queue, now_us(room)))) {
		unsigned before = room->waiting;

		take(room, request);
		gateway_request_dispatch(request);
		if (room->waiting >= before)
			return false;
	}
	return !admission_waiting(class->queue);
}

static void on_timer(uv_timer_t *timer)
{
	struct waiting_room *room = timer->data;
	struct list *service_pos, *pos;

	room->pumping = true;
	list_for_each (service_pos, &room->services) {
		struct service_room *service =
			list_entry(service_pos, struct service_room, link);
		bool may_go_on = true;

		list_for_each (pos, &service->classes) {
			struct waiting_class *class =
				list_entry(pos, struct waiting_class, link);

			refuse_expired(room, class);
			if (may_go_on)
				may_go_on = pump_class(room, service, class);
		}
	}
	room->pumping = false;
	if (room->waiting)
		pump_later(room, PUMP_INTERVAL_MS);
}

uint64_t waiting_room_note_time(struct waiting_room *room, const char *route,
				uint64_t ms)
{
	uint64_t longest =
		GPOINTER_TO_SIZE(g_hash_table_lookup(room->times, route));

	if (ms <= longest)
		return longest;
	g_hash_table_insert(room->times, g_strdup(route), GSIZE_TO_POINTER(ms));
	return ms;
}

struct waiting_room *waiting_room_create(struct gateway *gateway)
{
	struct waiting_room *room = g_new0(struct waiting_room, 1);

	room->gateway = gateway;
	list_init(&room->services);
	room->times =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	room->wait_us = metrics_histogram(gateway->metrics,
					  "briarplank_entry_wait_seconds", "");
	uv_timer_init(gateway->loop, &room->timer);
	room->timer.data = room;
	return room;
}

static void service_free(struct service_room *service)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &service->classes) {
		struct waiting_class *class =
			list_entry(pos, struct waiting_class, link);

		admission_destroy(class->queue);
		g_free(class);
	}
	g_free(service->name);
	g_free(service);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void waiting_room_destroy(struct waiting_room *room)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &room->services)
		service_free(list_entry(pos, struct service_room, link));
	g_hash_table_destroy(room->times);
	uv_close((uv_handle_t *)&room->timer, on_closed);
}
