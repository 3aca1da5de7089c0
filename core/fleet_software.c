/*
 * The software versions that serve, or have served lately, in each service.
 */
#include "common/hash.h"
#include "fleet_private.h"

/* Time for which a version is remembered after its last server was listed, in ms:
 * longer than any stream is remembered. */
#define SOFTWARE_MEMORY_MS (20 * 60 * 1000)

struct software {
	uint64_t software_hash;
	char *service;
	uint64_t service_hash;
	/* Loop time at which a server with it was listed last, in ms. */
	uint64_t listed_ms;
};

static void software_free(gpointer data)
{
	struct software *software = data;

	g_free(software->service);
	g_free(software);
}

void fleet_software_init(struct fleet *fleet)
{
	fleet->software = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, software_free);
}

void fleet_software_clear(struct fleet *fleet)
{
	g_hash_table_destroy(fleet->software);
}

uint64_t fleet_software_hash(const char *service, const char *software)
{
	return hash_combine(hash_string(service, 0), hash_string(software, 0)) |
	       1;
}

void fleet_software_sweep(struct fleet *fleet, uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		const struct server *server =
			list_entry(pos, struct server, link);
		struct software *software = g_hash_table_lookup(
			fleet->software, &server->software_hash);

		if (!server->listed)
			continue;
		if (!software) {
			software = g_new0(struct software, 1);
			software->software_hash = server->software_hash;
			software->service = g_strdup(server->service);
			software->service_hash = server->service_hash;
			g_hash_table_insert(fleet->software,
					    &software->software_hash, software);
		}
		software->listed_ms = now_ms;
	}
	g_hash_table_iter_init(&iter, fleet->software);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms - ((struct software *)value)->listed_ms >
		    SOFTWARE_MEMORY_MS)
			g_hash_table_iter_remove(&iter);
	}
}

/* Adds a version to those found: 0 for none, the version, or SEVERAL. */
#define SEVERAL 2
static uint64_t add_found(uint64_t found, uint64_t software)
{
	return !found || found == software ? software : SEVERAL;
}

uint64_t fleet_sole_software(struct fleet *fleet, const char *service,
			     uint64_t since_ms)
{
	uint64_t service_hash = hash_string(service, 0), found = 0;
	GHashTableIter iter;
	gpointer value;
	struct list *pos;

	g_hash_table_iter_init(&iter, fleet->software);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct software *software = value;

		if (software->service_hash == service_hash &&
		    software->listed_ms >= since_ms)
			found = add_found(found, software->software_hash);
	}
	/* Those listed since the last sweep. */
	list_for_each (pos, &fleet->servers) {
		const struct server *server =
			list_entry(pos, struct server, link);

		if (server->listed && server->service_hash == service_hash)
			found = add_found(found, server->software_hash);
	}
	return found == SEVERAL ? 0 : found;
}

const char *fleet_software_service(struct fleet *fleet, uint64_t software_hash)
{
	const struct software *software =
		g_hash_table_lookup(fleet->software, &software_hash);
	struct list *pos;

	if (software)
		return software->service;
	/* Those listed since the last sweep. */
	list_for_each (pos, &fleet->servers) {
		const struct server *server =
			list_entry(pos, struct server, link);

		if (server->listed && server->software_hash == software_hash)
			return server->service;
	}
	return NULL;
}

bool fleet_software_serves(struct fleet *fleet, uint64_t software_hash)
{
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		const struct server *server =
			list_entry(pos, struct server, link);

		if (server->software_hash == software_hash &&
		    server_serves(server, server->service))
			return true;
	}
	return false;
}

bool fleet_software_gone(struct fleet *fleet, const char *service,
			 uint64_t software_hash)
{
	bool others = false;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		const struct server *server =
			list_entry(pos, struct server, link);

		if (!server_serves(server, service))
			continue;
		if (server->software_hash == software_hash)
			return false;
		others = true;
	}
	return others;
}
