/**
 * Interface to the platform's list of VMs, which may be stale.
 */
#ifndef BRIARPLANK_STANDALONE_VM_LIST_H
#define BRIARPLANK_STANDALONE_VM_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standalone/http_client.h"

struct vm_list;

enum vm_role { VM_ENTRY, VM_AGENT };
enum vm_state { VM_LIVE, VM_LEAVING };

/** One VM of the platform's list. */
struct vm_entry {
	const char *name;
	enum vm_role role;
	enum vm_state state;
	/** IP:PORT at which the node receives messages of other nodes. */
	const char *address;
	const char *data_centre;
	const char *region;
	/** Service of the server next to an agent; empty for entries. */
	const char *service;
};

/**
 * Receives the fetched VMs, which are valid during the callback; ok is false if
 * the fetch failed.
 */
typedef void (*vm_list_fn)(void *ctx, bool ok, const struct vm_entry *vms,
			   size_t nr);

struct vm_list_ops {
	void (*fetch)(struct vm_list *list, vm_list_fn done, void *ctx);
	void (*destroy)(struct vm_list *list);
};

/** Base of all adapters for VM lists. */
struct vm_list {
	const struct vm_list_ops *ops;
};

/** Creates the adapter for the HTTP list at IP:PORT. */
struct vm_list *vm_list_http_create(struct http_client *http,
				    const char *address);

#endif
