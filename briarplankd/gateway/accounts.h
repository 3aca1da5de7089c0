/**
 * Client accounts at this entry: who a caller is, and whether its account's rate allows
 * its request. The use of accounts is exchanged with the other entries in load reports.
 */
#ifndef BRIARPLANKD_GATEWAY_ACCOUNTS_H
#define BRIARPLANKD_GATEWAY_ACCOUNTS_H

#include "core/account_limits.h"
#include "core/peer_table.h"
#include "gateway.h"
#include "nodeload.pb-c.h"

struct accounts;

struct accounts *accounts_create(struct gateway *gateway);
void accounts_destroy(struct accounts *accounts);

/** Who makes a call. */
enum caller_kind {
	/** The configuration has no accounts, or the route needs no key. */
	CALLER_ANYONE,
	/** The caller has a key of an account. */
	CALLER_ACCOUNT,
	/** No account has the key, or there is none. */
	CALLER_UNKNOWN,
	/** The same, but this entry's configuration may be out of date. */
	CALLER_UNSURE,
};

/**
 * Tells who makes a call on a route, NULL for a call that belongs to none, by the
 * configuration in use, which must be known. Sets *account with CALLER_ACCOUNT; it is
 * valid until the configuration changes.
 */
enum caller_kind accounts_identify(struct accounts *accounts,
				   const struct web_request *web,
				   const struct route *route,
				   const struct account **account);

/** Answers a call of CALLER_UNKNOWN or CALLER_UNSURE, and logs it. */
void accounts_turn_away(struct accounts *accounts, struct web_request *web,
			enum caller_kind kind);

/**
 * Tells whether the rate of an account, by its name, allows a request now. If it
 * doesn't, *retry_s is the time until it does.
 */
bool accounts_admit(struct accounts *accounts, const char *name,
		    double *retry_s);

/** Returns the state of an account's limit, for operators. */
void accounts_limit_state(struct accounts *accounts,
			  const struct account *account,
			  struct account_limit_state *state);

/** Returns the id under which a job of an account is kept; the caller frees it. */
char *accounts_job_id(const struct gateway *gateway,
		      const struct account *account, const char *id);

/** Notes an entry that has been announced. */
void accounts_expect(struct accounts *accounts, uint64_t address);

/** Notes that an entry is no longer there. */
void accounts_forget(struct accounts *accounts, uint64_t address);

/** Adds the use of accounts to a load report that goes to an audience. */
void accounts_add_to_report(struct accounts *accounts,
			    enum account_audience audience, NodeLoad *load);

/** Frees what accounts_add_to_report() added. */
void accounts_free_report(NodeLoad *load);

/** Applies the use of accounts in another entry's load report. */
void accounts_apply_report(struct accounts *accounts, const struct peer *peer,
			   const NodeLoad *load);

#endif
