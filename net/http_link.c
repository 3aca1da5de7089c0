#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#include <http_parser.h>

#include "answer_syntax.h"
#include "common/error.h"
#include "net/address.h"
#include "net/http_link.h"

/* Size of the read buffer, which all connections share. */
#define READ_BUFFER_BYTES 65536
/* Maximum number of bytes before the answer's head is complete, with interim
 * answers and late answers to other requests. */
#define PREAMBLE_BYTES_MAX (1 << 20)
/* Size from which on a request may not fit into the buffers of a server that doesn't read,
 * in bytes, and the time in which its bytes must be acknowledged, in ms. */
#define LONG_REQUEST_BYTES 16384
#define LONG_UNACKED_TIMEOUT_MS 8000
/* Number of requests whose keys are kept, after which the connection isn't reused. */
#define KEYS_MAX 256

struct http_link {
	uv_loop_t *loop;
	uv_tcp_t tcp;
	uv_timer_t connect_timer;
	uv_connect_t connect;
	struct http_link_options options;
	/* Number of handles that must be closed before the link is freed. */
	int handles;
	bool connected;
	/* Loop times at which the connection was opened and established, in ms. */
	uint64_t opened_ms;
	uint64_t connected_ms;
	bool closing;
	bool busy;
	/* A request could not be written to its end. */
	bool write_failed;
	/* The connection ended as the server acknowledged nothing. */
	bool timed_out;
	/* The time in which sent bytes must be acknowledged now, in ms. */
	unsigned unacked_timeout_ms;
	/* The connection's state is bad or unknown: it must not be reused. */
	bool unusable;
	/* Request of the exchange; kept here until the connection is
	 * established. */
	GString *request;
	unsigned writes_pending;
	/* Number of exchanges, with the current one. */
	unsigned exchanges;
	/* Keys of the requests that were sent, as far as they have one. */
	GArray *keys;
	struct http_link_handlers handlers;
	void *ctx;
	http_parser parser;
	struct answer_syntax syntax;
	/* The method of the request is HEAD. */
	bool head_method;
	bool head_done;
	bool message_done;
	/* Bytes received in this exchange before head_done. */
	size_t preamble_bytes;
	/* The answer being parsed is skipped, as it is interim or belongs to
	 * another request. */
	bool skipping;
	bool keep_alive;
	/* Header fields of the answer, and name and value of the field being
	 * parsed. */
	GArray *fields;
	GString *name;
	GString *value;
	bool in_value;
	uint64_t idle_limit_ms;
	uint64_t idle_since_ms;
};

struct write {
	uv_write_t req;
	struct http_link *link;
	GString *data;
};

static int on_field_name(http_parser *parser, const char *at, size_t len);
static int on_field_value(http_parser *parser, const char *at, size_t len);
static int on_headers_complete(http_parser *parser);
static int on_body(http_parser *parser, const char *at, size_t len);
static int on_message_complete(http_parser *parser);

static const http_parser_settings parser_settings = {
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void field_clear(gpointer data)
{
	struct http_link_field *field = data;

	g_free(field->name);
	g_free(field->value);
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct http_link *link = handle->data;

	if (--link->handles)
		return;
	if (link->request)
		g_string_free(link->request, TRUE);
	g_array_free(link->fields, TRUE);
	g_array_free(link->keys, TRUE);
	g_string_free(link->name, TRUE);
	g_string_free(link->value, TRUE);
	g_free(link);
}

void http_link_close(struct http_link *link)
{
	if (link->closing)
		return;
	link->closing = true;
	link->busy = false;
	uv_timer_stop(&link->connect_timer);
	uv_close((uv_handle_t *)&link->connect_timer, on_handle_closed);
	uv_close((uv_handle_t *)&link->tcp, on_handle_closed);
}

static void exchange_end(struct http_link *link, enum http_link_end end)
{
	void (*on_end)(void *, enum http_link_end) = link->handlers.on_end;

	if (link->closing)
		return;
	if (end != HTTP_LINK_COMPLETE) {
		link->unusable = true;
		uv_read_stop((uv_stream_t *)&link->tcp);
	}
	link->idle_since_ms = uv_now(link->loop);
	if (!link->busy) {
		if (link->options.on_idle_close)
			link->options.on_idle_close(link->options.ctx, link);
		return;
	}
	link->busy = false;
	on_end(link->ctx, end);
}

static void field_finish(struct http_link *link)
{
	struct http_link_field *field;

	if (!link->in_value)
		return;
	g_array_set_size(link->fields, link->fields->len + 1);
	field = &g_array_index(link->fields, struct http_link_field,
			       link->fields->len - 1);
	field->name = g_strndup(link->name->str, link->name->len);
	field->value =
		g_strchomp(g_strndup(link->value->str, link->value->len));
	g_string_truncate(link->name, 0);
	g_string_truncate(link->value, 0);
	link->in_value = false;
}

static int on_field_name(http_parser *parser, const char *at, size_t len)
{
	struct http_link *link = parser->data;

	field_finish(link);
	g_string_append_len(link->name, at, (gssize)len);
	return 0;
}

static int on_field_value(http_parser *parser, const char *at, size_t len)
{
	struct http_link *link = parser->data;

	link->in_value = true;
	g_string_append_len(link->value, at, (gssize)len);
	return 0;
}

/* Parses the timeout of a Keep-Alive field, which is in seconds. */
static void parse_keep_alive(struct http_link *link, const char *value)
{
	const char *at = value ? strstr(value, "timeout=") : NULL;

	if (at)
		link->idle_limit_ms =
			1000 *
			g_ascii_strtoull(at + strlen("timeout="), NULL, 10);
}

static enum http_link_framing body_framing(const http_parser *parser)
{
	if (parser->flags & F_CHUNKED)
		return HTTP_LINK_CHUNKED;
	return parser->content_length == ULLONG_MAX ? HTTP_LINK_UNTIL_CLOSE :
						      HTTP_LINK_LENGTH;
}

/* What on_headers_complete() returns to the parser. */
enum { HEAD_REJECTED = -1, BODY_FOLLOWS, NO_BODY_FOLLOWS };

static bool is_number(const char *text)
{
	return *text && strspn(text, "0123456789") == strlen(text);
}

/* Tells whether the length and the coding that the fields give can be followed: the only
 * coding of bodies is chunks, which HTTP/1.0 lacks. */
static bool is_framing_valid(const struct http_link *link)
{
	unsigned codings = 0;
	guint i;

	for (i = 0; i < link->fields->len; i++) {
		const struct http_link_field *field =
			&g_array_index(link->fields, struct http_link_field, i);

		if (!g_ascii_strcasecmp(field->name, "content-length") &&
		    !is_number(field->value))
			return false;
		if (g_ascii_strcasecmp(field->name, "transfer-encoding") != 0)
			continue;
		if (codings++ || !link->parser.http_minor ||
		    g_ascii_strcasecmp(field->value, "chunked") != 0)
			return false;
	}
	return true;
}

/* Tells whether an answer has no body whatever its fields say; see RFC 9112, 6.3. */
static bool has_no_body(const struct http_link *link, unsigned status)
{
	return link->head_method || status / 100 == 1 || status == 204 ||
	       status == 304;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_link *link = parser->data;
	struct http_link_head head = { 0 };
	bool no_body = has_no_body(link, parser->status_code);

	field_finish(link);
	/* No request asks for another protocol. */
	if (!is_framing_valid(link) || parser->status_code == 101)
		return HEAD_REJECTED;
	/* The final answer follows an interim one. */
	if (parser->status_code / 100 == 1) {
		link->skipping = true;
		return NO_BODY_FOLLOWS;
	}
	head.status = (int)parser->status_code;
	head.fields = (const struct http_link_field *)link->fields->data;
	head.fields_nr = link->fields->len;
	head.framing = body_framing(parser);
	head.length = head.framing == HTTP_LINK_LENGTH ?
			      (int64_t)parser->content_length :
			      -1;
	link->keep_alive = http_should_keep_alive(parser);
	parse_keep_alive(link, http_link_head_field(&head, "keep-alive"));
	link->skipping = !link->handlers.on_head(link->ctx, &head);
	link->head_done = !link->skipping;
	if (link->closing)
		return HEAD_REJECTED;
	if (head.framing == HTTP_LINK_CHUNKED && !no_body)
		answer_syntax_begin_chunks(&link->syntax);
	return no_body ? NO_BODY_FOLLOWS : BODY_FOLLOWS;
}

static int on_body(http_parser *parser, const char *at, size_t len)
{
	struct http_link *link = parser->data;

	if (!link->skipping)
		link->handlers.on_body(link->ctx, at, len);
	return link->closing ? -1 : 0;
}

static int on_message_complete(http_parser *parser)
{
	struct http_link *link = parser->data;

	g_array_set_size(link->fields, 0);
	http_parser_pause(parser, 1);
	link->message_done = !link->skipping;
	link->skipping = false;
	answer_syntax_begin(&link->syntax);
	return 0;
}

static void finish_message(struct http_link *link, bool extra_bytes)
{
	/* If the answer is complete before the whole request was written, the
	 * server may not read the rest of the request. */
	if (extra_bytes || !link->keep_alive || link->writes_pending ||
	    link->write_failed)
		link->unusable = true;
	exchange_end(link, HTTP_LINK_COMPLETE);
}

/* Parses the bytes of at most one answer, up to the first that isn't valid. Returns the
 * number of bytes, or 0 if the first one isn't. */
static size_t parse_valid(struct http_link *link, const char *data, size_t len)
{
	size_t valid = answer_syntax_check(&link->syntax, data, len);
	size_t used = valid;
	enum http_errno error;

	/* The parser would take a call without bytes as the end of the connection. */
	if (valid)
		used = http_parser_execute(&link->parser, &parser_settings,
					   data, valid);
	error = HTTP_PARSER_ERRNO(&link->parser);
	if (error == HPE_PAUSED)
		http_parser_pause(&link->parser, 0);
	return error == HPE_OK || error == HPE_PAUSED ? used : 0;
}

static void parse_bytes(struct http_link *link, const char *data, size_t len)
{
	size_t used;

	if (!link->busy) {
		/* The bytes can't be an answer, as no request is in
		 * progress. */
		exchange_end(link, HTTP_LINK_MALFORMED);
		return;
	}
	if (!link->head_done)
		link->preamble_bytes += len;
	do {
		used = parse_valid(link, data, len);
		if (link->closing)
			return;
		data += used;
		len -= used;
	} while (used && len && !link->message_done);
	if (link->message_done)
		finish_message(link, len > 0);
	else if (len || (!link->head_done &&
			 link->preamble_bytes > PREAMBLE_BYTES_MAX))
		exchange_end(link, HTTP_LINK_MALFORMED);
}

static void on_eof(struct http_link *link, bool orderly)
{
	if (link->busy && orderly && !link->options.framed_only) {
		http_parser_execute(&link->parser, &parser_settings, NULL, 0);
		if (link->closing)
			return;
		if (link->message_done) {
			link->keep_alive = false;
			finish_message(link, false);
			return;
		}
	}
	exchange_end(link,
		     link->head_done ? HTTP_LINK_TRUNCATED : HTTP_LINK_NO_HEAD);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

/*
 * Tells whether the server closed the connection without a reset, which truncates an
 * answer that ends with the connection. libuv reports UV_EOF for a reset too, after a
 * short read or once a write has got the socket's error, but the socket's state differs.
 */
static bool is_orderly_close(struct http_link *link)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);
	uv_os_fd_t fd;

	return !uv_fileno((uv_handle_t *)&link->tcp, &fd) &&
	       !getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len) &&
	       info.tcpi_state == TCP_CLOSE_WAIT;
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct http_link *link = stream->data;

	if (link->closing || nread == 0)
		return;
	if (nread > 0) {
		parse_bytes(link, buf->base, (size_t)nread);
		return;
	}
	uv_read_stop(stream);
	link->timed_out = nread == UV_ETIMEDOUT;
	on_eof(link, nread == UV_EOF && is_orderly_close(link));
}

static void on_written(uv_write_t *req, int status)
{
	struct write *write = (struct write *)req;

	write->link->writes_pending--;
	write->link->write_failed |= status != 0;
	g_string_free(write->data, TRUE);
	g_free(write);
}

/* Sets the time in which sent bytes must be acknowledged. It also counts while the server
 * reads none of them, which it may do for a while when the request is long. */
static void set_unacked_timeout(struct http_link *link, size_t len)
{
	unsigned timeout = link->options.unacked_timeout_ms;
	uv_os_fd_t fd;

	if (!timeout || uv_fileno((uv_handle_t *)&link->tcp, &fd))
		return;
	if (len > LONG_REQUEST_BYTES)
		timeout = MAX(timeout, LONG_UNACKED_TIMEOUT_MS);
	if (timeout == link->unacked_timeout_ms)
		return;
	link->unacked_timeout_ms = timeout;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
		   sizeof(timeout));
}

static void send_request(struct http_link *link)
{
	struct write *write = g_new0(struct write, 1);
	uv_buf_t buf;

	set_unacked_timeout(link, link->request->len);
	write->link = link;
	write->data = link->request;
	link->request = NULL;
	link->writes_pending++;
	buf = uv_buf_init(write->data->str, (unsigned)write->data->len);
	/* A failed write need not be reported here: it also ends the read,
	 * which reports the failure. */
	if (uv_write(&write->req, (uv_stream_t *)&link->tcp, &buf, 1,
		     on_written)) {
		link->writes_pending--;
		g_string_free(write->data, TRUE);
		g_free(write);
	}
	if (link->handlers.on_sent)
		link->handlers.on_sent(link->ctx);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct http_link *link = connect->data;

	if (link->closing)
		return;
	uv_timer_stop(&link->connect_timer);
	if (status) {
		exchange_end(link, HTTP_LINK_NOT_SENT);
		return;
	}
	link->connected = true;
	link->connected_ms = uv_now(link->loop);
	uv_tcp_nodelay(&link->tcp, 1);
	uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
	if (link->request)
		send_request(link);
}

static void on_connect_timeout(uv_timer_t *timer)
{
	exchange_end(timer->data, HTTP_LINK_NOT_SENT);
}

struct http_link *http_link_open(const struct http_link_options *options)
{
	struct http_link *link = g_new0(struct http_link, 1);
	struct sockaddr_storage addr;
	int rc = -1;

	link->loop = options->loop;
	link->options = *options;
	link->options.address = NULL;
	link->opened_ms = uv_now(link->loop);
	link->handles = 2;
	uv_tcp_init(link->loop, &link->tcp);
	link->tcp.data = link;
	uv_timer_init(link->loop, &link->connect_timer);
	link->connect_timer.data = link;
	link->connect.data = link;
	link->fields =
		g_array_new(FALSE, FALSE, sizeof(struct http_link_field));
	g_array_set_clear_func(link->fields, field_clear);
	link->keys = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	link->name = g_string_new(NULL);
	link->value = g_string_new(NULL);
	if (address_parse_any(options->address, &addr))
		rc = uv_tcp_connect(&link->connect, &link->tcp,
				    (struct sockaddr *)&addr, on_connected);
	/* A failure to start connecting is reported from the timer too, so that
	 * no callback is called from within this function. */
	uv_timer_start(&link->connect_timer, on_connect_timeout,
		       rc ? 0 : options->connect_timeout_ms, 0);
	return link;
}

void http_link_send(struct http_link *link, GString *request,
		    const struct http_link_handlers *handlers, void *ctx)
{
	link->handlers = *handlers;
	link->ctx = ctx;
	link->busy = true;
	link->exchanges++;
	link->request = request;
	link->head_method = g_str_has_prefix(request->str, "HEAD ");
	link->head_done = false;
	link->message_done = false;
	link->preamble_bytes = 0;
	link->skipping = false;
	link->in_value = false;
	g_array_set_size(link->fields, 0);
	g_string_truncate(link->name, 0);
	g_string_truncate(link->value, 0);
	answer_syntax_begin(&link->syntax);
	http_parser_init(&link->parser, HTTP_RESPONSE);
	link->parser.data = link;
	if (link->connected)
		send_request(link);
}

bool http_link_used_before(const struct http_link *link)
{
	return link->exchanges > 1;
}

void http_link_pause(struct http_link *link, bool paused)
{
	if (link->closing || !link->connected)
		return;
	if (paused)
		uv_read_stop((uv_stream_t *)&link->tcp);
	else
		uv_read_start((uv_stream_t *)&link->tcp, on_alloc, on_read);
}

void http_link_hand_over(struct http_link *link,
			 const struct http_link_handlers *handlers, void *ctx)
{
	link->handlers = *handlers;
	link->ctx = ctx;
}

bool http_link_reusable(const struct http_link *link)
{
	return link->connected && !link->busy && !link->unusable &&
	       !link->closing && link->keys->len < KEYS_MAX;
}

void http_link_add_key(struct http_link *link, uint64_t key)
{
	g_array_append_val(link->keys, key);
}

bool http_link_has_key(const struct http_link *link, uint64_t key)
{
	guint i;

	for (i = 0; i < link->keys->len; i++) {
		if (g_array_index(link->keys, uint64_t, i) == key)
			return true;
	}
	return false;
}

uint64_t http_link_connected_ms(const struct http_link *link)
{
	return link->connected_ms;
}

uint64_t http_link_round_trip_ms(const struct http_link *link)
{
	return link->connected ? link->connected_ms - link->opened_ms : 0;
}

bool http_link_timed_out(const struct http_link *link)
{
	return link->timed_out;
}

uint64_t http_link_idle_timeout_ms(const struct http_link *link)
{
	return link->idle_limit_ms;
}

uint64_t http_link_idle_since_ms(const struct http_link *link)
{
	return link->idle_since_ms;
}

const char *http_link_head_field(const struct http_link_head *head,
				 const char *name)
{
	size_t i;

	for (i = 0; i < head->fields_nr; i++) {
		if (!g_ascii_strcasecmp(head->fields[i].name, name))
			return head->fields[i].value;
	}
	return NULL;
}

const char *http_link_framing_name(enum http_link_framing framing)
{
	static const char *const names[] = {
		[HTTP_LINK_FRAMING_UNKNOWN] = "-",
		[HTTP_LINK_UNTIL_CLOSE] = "close",
		[HTTP_LINK_LENGTH] = "length",
		[HTTP_LINK_CHUNKED] = "chunks",
	};

	return names[framing];
}
