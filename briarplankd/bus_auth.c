#include <errno.h>
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include "bus_auth.h"
#include "common/error.h"
#include "common/log.h"

#define PART "bus"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define KEY_BYTES 32
#define MAX_FRAME_BYTES 256

/* Frames of a ZAP request, in order. */
enum zap_frame {
	ZAP_FRAME_VERSION,
	ZAP_FRAME_REQUEST_ID,
	ZAP_FRAME_DOMAIN,
	ZAP_FRAME_ADDRESS,
	ZAP_FRAME_IDENTITY,
	ZAP_FRAME_MECHANISM,
	ZAP_FRAME_KEY,
	ZAP_FRAMES,
};

struct frame {
	char bytes[MAX_FRAME_BYTES];
	size_t len;
};

struct bus_auth {
	void *socket;
	uv_poll_t poll;
	uint8_t key[KEY_BYTES];
	uint8_t other_key[KEY_BYTES];
	bool has_other_key;
	struct counter *denied;
};

bool bus_auth_check_keys(const char *public_key, const char *secret_key)
{
	char derived[BUS_KEY_TEXT_BYTES + 1];

	if (strlen(public_key) != BUS_KEY_TEXT_BYTES ||
	    strlen(secret_key) != BUS_KEY_TEXT_BYTES ||
	    zmq_curve_public(derived, secret_key) != 0) {
		error_set("a bus key must have %d Z85 characters",
			  BUS_KEY_TEXT_BYTES);
		return false;
	}
	if (!strcmp(derived, public_key))
		return true;
	error_set("the public bus key doesn't match the secret key");
	return false;
}

bool bus_auth_check_public(const char *public_key)
{
	uint8_t key[KEY_BYTES];

	if (strlen(public_key) == BUS_KEY_TEXT_BYTES &&
	    zmq_z85_decode(key, public_key))
		return true;
	error_set("a bus key must have %d Z85 characters", BUS_KEY_TEXT_BYTES);
	return false;
}

/* Receives a ZAP request; returns its number of frames, or 0 for none. */
static int receive_request(void *socket, struct frame frames[ZAP_FRAMES])
{
	size_t len = sizeof(int);
	int more = 1;
	int nr = 0;
	int rc;

	while (more) {
		struct frame excess;
		struct frame *frame = nr < ZAP_FRAMES ? &frames[nr] : &excess;

		do {
			rc = zmq_recv(socket, frame->bytes, MAX_FRAME_BYTES,
				      ZMQ_DONTWAIT);
		} while (rc < 0 && errno == EINTR);
		if (rc < 0)
			return 0;
		frame->len = MIN((size_t)rc, MAX_FRAME_BYTES);
		nr++;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &len);
	}
	return nr;
}

static bool frame_is(const struct frame *frame, const void *bytes, size_t len)
{
	return frame->len == len && !memcmp(frame->bytes, bytes, len);
}

static bool is_known_key(const struct bus_auth *auth, const struct frame *frame)
{
	return frame_is(frame, auth->key, KEY_BYTES) ||
	       (auth->has_other_key &&
		frame_is(frame, auth->other_key, KEY_BYTES));
}

static bool is_allowed(const struct bus_auth *auth,
		       const struct frame frames[ZAP_FRAMES], int nr)
{
	return nr == ZAP_FRAMES &&
	       frame_is(&frames[ZAP_FRAME_VERSION], ZAP_VERSION,
			strlen(ZAP_VERSION)) &&
	       frame_is(&frames[ZAP_FRAME_DOMAIN], BUS_AUTH_DOMAIN,
			strlen(BUS_AUTH_DOMAIN)) &&
	       frame_is(&frames[ZAP_FRAME_MECHANISM], "CURVE", 5) &&
	       is_known_key(auth, &frames[ZAP_FRAME_KEY]);
}

static void send_text(void *socket, const char *text, int flags)
{
	zmq_send(socket, text, strlen(text), flags);
}

static void send_reply(struct bus_auth *auth, const struct frame *request_id,
		       bool allowed)
{
	send_text(auth->socket, ZAP_VERSION, ZMQ_SNDMORE);
	zmq_send(auth->socket, request_id->bytes, request_id->len, ZMQ_SNDMORE);
	send_text(auth->socket, allowed ? "200" : "400", ZMQ_SNDMORE);
	send_text(auth->socket, allowed ? "OK" : "not of this fleet",
		  ZMQ_SNDMORE);
	send_text(auth->socket, "", ZMQ_SNDMORE);
	send_text(auth->socket, "", 0);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct bus_auth *auth = poll->data;
	struct frame frames[ZAP_FRAMES] = { 0 };
	bool allowed;
	int nr;

	(void)status;
	(void)events;
	while ((nr = receive_request(auth->socket, frames)) != 0) {
		allowed = is_allowed(auth, frames, nr);
		if (!allowed) {
			counter_add(auth->denied, 1);
			log_warn(PART,
				 "refused a connection from %.*s without a "
				 "valid key",
				 (int)frames[ZAP_FRAME_ADDRESS].len,
				 frames[ZAP_FRAME_ADDRESS].bytes);
		}
		send_reply(auth, &frames[ZAP_FRAME_REQUEST_ID], allowed);
	}
}

struct bus_auth *bus_auth_create(void *zmq, uv_loop_t *loop,
				 const char *public_key, const char *other_key,
				 struct metrics *metrics)
{
	struct bus_auth *auth = g_new0(struct bus_auth, 1);
	size_t len = sizeof(int);
	int linger = 0;
	int fd;

	zmq_z85_decode(auth->key, public_key);
	auth->has_other_key = other_key != NULL;
	if (other_key)
		zmq_z85_decode(auth->other_key, other_key);
	auth->denied =
		metrics_counter(metrics, "briarplank_bus_denied_total", "");
	auth->socket = zmq_socket(zmq, ZMQ_REP);
	zmq_setsockopt(auth->socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_bind(auth->socket, ZAP_ENDPOINT);
	zmq_getsockopt(auth->socket, ZMQ_FD, &fd, &len);
	uv_poll_init(loop, &auth->poll, fd);
	auth->poll.data = auth;
	uv_poll_start(&auth->poll, UV_READABLE, on_readable);
	return auth;
}

static void on_closed(uv_handle_t *handle)
{
	struct bus_auth *auth = handle->data;

	zmq_close(auth->socket);
	g_free(auth);
}

void bus_auth_destroy(struct bus_auth *auth)
{
	uv_poll_stop(&auth->poll);
	uv_close((uv_handle_t *)&auth->poll, on_closed);
}
