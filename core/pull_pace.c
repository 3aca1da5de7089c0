#include <glib.h>

#include "common/list.h"
#include "core/pull_pace.h"

#define MS_PER_S 1000

struct idle_agent {
	struct list link;
	char *name;
	/* Service that the agent polls for; the string is owned by
	 * pull_pace.services. */
	const char *service;
	/* Time at which the next pull is expected. */
	uint64_t next_pull_ms;
};

struct pull_pace {
	struct pull_pace_options options;
	/* Maps the name of an agent to its struct idle_agent *. */
	GHashTable *agents;
	/* Maps a service to its list of idle agents, longest idle first. */
	GHashTable *services;
};

static void agent_free(void *data)
{
	struct idle_agent *agent = data;

	list_remove(&agent->link);
	g_free(agent->name);
	g_free(agent);
}

struct pull_pace *pull_pace_create(const struct pull_pace_options *options)
{
	struct pull_pace *pace = g_new0(struct pull_pace, 1);

	pace->options = *options;
	pace->agents = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					     agent_free);
	pace->services =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return pace;
}

void pull_pace_destroy(struct pull_pace *pace)
{
	g_hash_table_destroy(pace->agents);
	g_hash_table_destroy(pace->services);
	g_free(pace);
}

static struct list *service_list(struct pull_pace *pace, const char *service,
				 const char **key)
{
	gpointer found_key, found;

	if (!g_hash_table_lookup_extended(pace->services, service, &found_key,
					  &found)) {
		found = g_new(struct list, 1);
		list_init(found);
		found_key = g_strdup(service);
		g_hash_table_insert(pace->services, found_key, found);
	}
	*key = found_key;
	return found;
}

static uint32_t wait_ms(const struct pull_pace *pace)
{
	uint64_t idle = pull_pace_idle_nr(pace);
	uint64_t wait = idle * MS_PER_S / pace->options.pulls_per_s;

	return (uint32_t)CLAMP(wait, pace->options.min_wait_ms,
			       pace->options.max_wait_ms);
}

uint32_t pull_pace_empty(struct pull_pace *pace, const char *agent,
			 const char *service, uint64_t now_ms)
{
	struct idle_agent *idle = g_hash_table_lookup(pace->agents, agent);
	struct list *list;
	uint32_t wait;

	if (!idle) {
		idle = g_new0(struct idle_agent, 1);
		idle->name = g_strdup(agent);
		list = service_list(pace, service, &idle->service);
		list_append(list, &idle->link);
		g_hash_table_insert(pace->agents, idle->name, idle);
	}
	wait = wait_ms(pace);
	idle->next_pull_ms = now_ms + wait;
	return wait;
}

void pull_pace_served(struct pull_pace *pace, const char *agent)
{
	g_hash_table_remove(pace->agents, agent);
}

unsigned pull_pace_idle_nr(const struct pull_pace *pace)
{
	return g_hash_table_size(pace->agents);
}

void pull_pace_expire(struct pull_pace *pace, uint64_t now_ms)
{
	struct idle_agent *idle;
	GHashTableIter iter;

	g_hash_table_iter_init(&iter, pace->agents);
	while (g_hash_table_iter_next(&iter, NULL, (gpointer *)&idle)) {
		if (now_ms > idle->next_pull_ms + pace->options.max_wait_ms)
			g_hash_table_iter_remove(&iter);
	}
}

void pull_pace_each_service(struct pull_pace *pace,
			    void (*fn)(void *ctx, const char *service),
			    void *ctx)
{
	GHashTableIter iter;
	struct list *list;
	const char *service;

	g_hash_table_iter_init(&iter, pace->services);
	while (g_hash_table_iter_next(&iter, (gpointer *)&service,
				      (gpointer *)&list)) {
		if (!list_empty(list))
			fn(ctx, service);
	}
}

char *pull_pace_wake(struct pull_pace *pace, const char *service)
{
	struct list *list = g_hash_table_lookup(pace->services, service);
	struct list *first = list ? list_first(list) : NULL;
	struct idle_agent *idle;
	char *name;

	if (!first)
		return NULL;
	idle = list_entry(first, struct idle_agent, link);
	name = g_strdup(idle->name);
	g_hash_table_remove(pace->agents, idle->name);
	return name;
}
