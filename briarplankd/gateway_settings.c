/*
 * Table of the gateway's settings, and the checks of constraints between them.
 */
#include <stdio.h>
#include <string.h>

#include "briarplankd/gateway_settings.h"
#include "common/json_lines.h"

#define FIELD(type, member) offsetof(struct type, member)
#define GATEWAY(member) FIELD(gateway_settings, member)

static const char *const levels[] = { "error", "warn", "info", "debug", NULL };

static const struct setting_spec data_centre_specs[] = {
	{ "name", SETTING_STRING, FIELD(data_centre_settings, name),
	  .required = true, .help = "name of the data centre" },
	{ "region", SETTING_STRING, FIELD(data_centre_settings, region),
	  .required = true, .help = "region of the data centre" },
	{ 0 },
};

const struct setting_spec gateway_setting_specs[] = {
	{ "node.name", SETTING_STRING, GATEWAY(name), .required = true,
	  .help = "name of this node, unique in the fleet" },
	{ "node.ip", SETTING_STRING, GATEWAY(ip), .required = true,
	  .help = "IP address of this VM" },
	{ "node.port", SETTING_INT, GATEWAY(node_port), .required = true,
	  .min = 0, .max = 65535,
	  .help = "port for traffic between nodes: load reports over UDP and "
		  "relayed calls over TCP; the next port serves the "
		  "directory; 0 chooses free ports" },
	{ "node.data_centre", SETTING_STRING, GATEWAY(data_centre),
	  .required = true, .help = "data centre of this VM" },
	{ "node.region", SETTING_STRING, GATEWAY(region), .required = true,
	  .help = "region of this VM" },
	{ "node.cpu_share", SETTING_NUMBER, GATEWAY(cpu_permille), .min = 1,
	  .max = 1000000, .default_value = "1", .unit = "cores",
	  .help = "processor time of this VM; entries with more of it read "
		  "the store on behalf of the others" },
	{ "node.memory_mb", SETTING_INT, GATEWAY(memory_mb), .min = 0,
	  .max = 100000000, .unit = "MB", .default_value = "0",
	  .help = "memory that the process may use, of which half is for "
		  "what callers send and leave unread; 0 takes the memory of "
		  "the VM" },
	{ "node.descriptors", SETTING_INT, GATEWAY(descriptors), .min = 0,
	  .max = 100000000, .default_value = "0",
	  .help = "descriptors that the process may open, of which half are "
		  "for callers' connections; 0 takes the limit of the "
		  "process" },
	{ "data_centres", SETTING_LIST, GATEWAY(data_centres), .required = true,
	  .item_specs = data_centre_specs,
	  .item_size = sizeof(struct data_centre_settings),
	  .help = "all data centres and their regions" },
	{ "listen.front", SETTING_ADDRESS, GATEWAY(front_address),
	  .required = true, .help = "address for callers" },
	{ "listen.ready", SETTING_ADDRESS, GATEWAY(ready_address),
	  .required = true, .help = "address of the readiness check" },
	{ "listen.metrics", SETTING_ADDRESS, GATEWAY(metrics_address),
	  .required = true, .help = "address of the metrics" },
	{ "store.address", SETTING_ADDRESS, GATEWAY(store_address),
	  .required = true, .help = "address of the platform's store" },
	{ "store.partitions", SETTING_INT, GATEWAY(store_partitions), .min = 1,
	  .max = 1000, .default_value = "12",
	  .help = "number of partitions of the bulk topic" },
	{ "store.record_bytes", SETTING_INT, GATEWAY(store_record_bytes),
	  .min = 1024, .max = 16777216, .unit = "bytes",
	  .default_value = "262144",
	  .help = "largest record that the store accepts" },
	{ "store.call_bytes", SETTING_INT, GATEWAY(store_call_bytes),
	  .min = 1024, .max = 67108864, .unit = "bytes",
	  .default_value = "2097152",
	  .help = "maximum size of all records in one call to the store" },
	{ "store.reads_per_s", SETTING_INT, GATEWAY(store_reads_per_s),
	  .min = 1, .max = 10000000, .default_value = "2000",
	  .help = "maximum number of read calls per second to the store by "
		  "all nodes together" },
	{ "store.readers_from", SETTING_INT, GATEWAY(readers_from), .min = 2,
	  .max = 1000000, .default_value = "24",
	  .help = "minimum number of nodes in a region for only some of "
		  "them to read the servers and the configuration from the "
		  "store; the others fetch both from these nodes" },
	{ "store.retention_s", SETTING_SECONDS, GATEWAY(store_retention_ms),
	  .min = 1000, .max = 31536000000, .default_value = "300",
	  .help = "time for which the store keeps records" },
	{ "start.hold_s", SETTING_SECONDS, GATEWAY(start_hold_ms), .min = 0,
	  .max = 60000, .default_value = "0",
	  .help = "time for which requests wait for the configuration and the "
		  "servers after a start; 0 refuses them at once" },
	{ "stop.grace_s", SETTING_SECONDS, GATEWAY(stop_grace_ms), .min = 100,
	  .max = 600000, .default_value = "8",
	  .help = "time from SIGTERM to the end of the process" },
	{ "jobs.results_kept_s", SETTING_SECONDS, GATEWAY(results_kept_ms),
	  .min = 1000, .max = 31536000000, .default_value = "120",
	  .help = "time for which a job's results stay readable" },
	{ "log.level", SETTING_CHOICE, GATEWAY(log_level), .choices = levels,
	  .default_value = "\"info\"",
	  .help = "least severe level that is logged" },
	{ 0 },
};

static int find_line(const char *file, const char *key)
{
	GHashTable *lines;
	char *text;
	int line;

	if (!g_file_get_contents(file, &text, NULL, NULL))
		return 0;
	lines = json_lines_index(text);
	line = json_lines_find(lines, key);
	g_hash_table_destroy(lines);
	g_free(text);
	return line;
}

/* Checks constraints between settings, which the table can't express. */
static void check_consistency(const char *file,
			      const struct gateway_settings *settings,
			      GPtrArray *faults)
{
	const struct data_centre_settings *items = settings->data_centres.items;
	bool found = false;
	size_t i;

	for (i = 0; i < settings->data_centres.nr; i++)
		found |= !strcmp(items[i].name, settings->data_centre);
	if (!found)
		settings_error_add(faults, find_line(file, "node.data_centre"),
				   "node.data_centre %s is not among "
				   "data_centres",
				   settings->data_centre);
}

bool gateway_settings_load(const char *file, struct gateway_settings *settings)
{
	GPtrArray *faults = settings_errors_new();
	bool valid;
	guint i;

	if (settings_load(file, gateway_setting_specs, settings, faults) ==
	    SETTINGS_OK)
		check_consistency(file, settings, faults);
	for (i = 0; i < faults->len; i++) {
		const struct settings_error *fault = faults->pdata[i];

		fprintf(stderr, "%s:%d: %s\n", file, fault->line,
			fault->message);
	}
	valid = !faults->len;
	g_ptr_array_free(faults, TRUE);
	return valid;
}

void gateway_settings_clear(struct gateway_settings *settings)
{
	settings_clear(gateway_setting_specs, settings);
}
