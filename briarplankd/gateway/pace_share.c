#include "common/log.h"
#include "pace_share.h"

/* Maximum number of servers in one load report. */
#define REPORT_PACES_MAX 8

static void log_change(struct server *server, uint64_t now)
{
	bool paced = server->pace.allowed > 0;

	if (paced == server->pace_logged)
		return;
	server->pace_logged = paced;
	log_event(
		"server", LOG_LEVEL_INFO,
		"id=%s pace %s allowed=%.0f first_ms=%.0f data_age_ms=%" PRIu64,
		server->id, paced ? "begins" : "ends", server->pace.allowed,
		server->first_ms, server->data_ms ? now - server->data_ms : 0);
}

static void add_pace(NodeLoad *load, const struct server *server)
{
	ServerPace *message = g_new(ServerPace, 1);

	server_pace__init(message);
	message->server = server->hash;
	message->started_ms = server->started_ms;
	message->allowed = (uint32_t)server->pace.allowed;
	load->paces[load->n_paces++] = message;
}

void pace_share_add_to_report(struct gateway *gateway, NodeLoad *load)
{
	uint64_t now = uv_now(gateway->loop);
	unsigned nr = 0, at = 0, first;
	struct list *pos;

	list_for_each (pos, fleet_servers(gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		log_change(server, now);
		nr += fleet_pace_is_told(server, now);
	}
	if (!nr)
		return;
	load->paces = g_new(ServerPace *, REPORT_PACES_MAX);
	/* All have their turn in the reports of a second. */
	first = (unsigned)(load->sequence * REPORT_PACES_MAX % nr);
	list_for_each (pos, fleet_servers(gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (fleet_pace_is_told(server, now) &&
		    (at++ + nr - first) % nr < REPORT_PACES_MAX)
			add_pace(load, server);
	}
}

void pace_share_free_report(NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_paces; i++)
		g_free(load->paces[i]);
	g_free(load->paces);
}

void pace_share_apply_report(struct gateway *gateway, const NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_paces; i++) {
		const ServerPace *pace = load->paces[i];
		struct server *server =
			fleet_find_hash(gateway->fleet, pace->server);

		/* A pace belongs to one start of a server. */
		if (server && server->started_ms == pace->started_ms)
			fleet_pace_heard(server, pace->allowed,
					 uv_now(gateway->loop));
	}
}
