/**
 * Settings of the gateway, the entry of a fleet that runs on the platform.
 */
#ifndef BRIARPLANKD_GATEWAY_SETTINGS_H
#define BRIARPLANKD_GATEWAY_SETTINGS_H

#include "common/settings.h"

/** A data centre and its region. */
struct data_centre_settings {
	char *name;
	char *region;
};

struct gateway_settings {
	char *name;
	char *ip;
	char *data_centre;
	char *region;
	struct setting_array data_centres;
	int log_level;

	/** Share of a processor core that this VM has, in thousandths. */
	int64_t cpu_permille;
	/** Memory that this process may use, in MB; 0 for that of the VM. */
	int64_t memory_mb;
	/** Number of descriptors that this process may open; 0 for its own limit. */
	int64_t descriptors;

	char *front_address;
	char *ready_address;
	char *metrics_address;
	/**
	 * First of two adjacent ports for traffic between nodes; 0 to choose
	 * free ports.
	 */
	int64_t node_port;

	char *store_address;
	/** Number of partitions of the bulk topic. */
	int64_t store_partitions;
	/**
	 * Maximum size of a record, and of all records in one call, in bytes.
	 */
	int64_t store_record_bytes;
	int64_t store_call_bytes;
	/** Maximum number of read calls per second by all nodes together. */
	int64_t store_reads_per_s;
	/**
	 * Minimum number of nodes in a region for only some of them to read the
	 * directory from the store.
	 */
	int64_t readers_from;
	/** Time for which the store keeps records, in ms. */
	int64_t store_retention_ms;

	/**
	 * Time for which requests wait for the configuration and the servers
	 * after a start, in ms; 0 to refuse them at once.
	 */
	int64_t start_hold_ms;
	/** Time from SIGTERM to SIGKILL, in ms. */
	int64_t stop_grace_ms;
	/** Time for which a job's results stay readable, in ms. */
	int64_t results_kept_ms;
};

extern const struct setting_spec gateway_setting_specs[];

/**
 * Loads and checks a settings file. Prints each error with its line to stderr,
 * and returns false if there is any.
 */
bool gateway_settings_load(const char *file, struct gateway_settings *settings);

void gateway_settings_clear(struct gateway_settings *settings);

#endif
