/* Chooses the relays of a data centre by rendezvous hashing. */
#include <string.h>

#include "common/hash.h"
#include "core/relays.h"

struct candidate {
	const char *name;
	enum member_role role;
	const char *data_centre;
};

static uint64_t rendezvous_hash(const char *name, const char *data_centre)
{
	return hash_combine(hash_string(name, 0), hash_string(data_centre, 0));
}

static bool outranks(const struct candidate *a, const struct candidate *b)
{
	uint64_t wa = rendezvous_hash(a->name, a->data_centre);
	uint64_t wb = rendezvous_hash(b->name, b->data_centre);

	/* Entries come first, because they always reach the log. Agents are
	 * relays only when there is no entry. */
	if (a->role != b->role)
		return a->role == MEMBER_ENTRY;
	return wa != wb ? wa > wb : strcmp(a->name, b->name) < 0;
}

static bool is_other_in_data_centre(const struct candidate *a,
				    const struct candidate *b)
{
	return !strcmp(a->data_centre, b->data_centre) &&
	       strcmp(a->name, b->name) != 0;
}

static bool is_chosen(const struct members *members,
		      const struct relay_self *self,
		      const struct candidate *candidate)
{
	struct candidate own = { self->name, self->role, self->data_centre };
	bool has_entry = candidate->role == MEMBER_ENTRY;
	unsigned higher_nr = 0;
	struct list *pos;

	if (!self->leaving && is_other_in_data_centre(&own, candidate)) {
		higher_nr += outranks(&own, candidate);
		has_entry |= own.role == MEMBER_ENTRY;
	}
	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);
		struct candidate other = { member->name, member->role,
					   member->data_centre };

		if (!member_usable(member) ||
		    !is_other_in_data_centre(&other, candidate))
			continue;
		higher_nr += outranks(&other, candidate);
		has_entry |= other.role == MEMBER_ENTRY;
	}
	if (candidate->role == MEMBER_AGENT && has_entry)
		return false;
	return higher_nr < RELAYS_PER_DATA_CENTRE;
}

bool relays_self_is_relay(const struct members *members,
			  const struct relay_self *self)
{
	struct candidate own = { self->name, self->role, self->data_centre };

	return !self->leaving && is_chosen(members, self, &own);
}

bool relays_is_relay(const struct members *members,
		     const struct relay_self *self, const struct member *member)
{
	struct candidate candidate = { member->name, member->role,
				       member->data_centre };

	return member_usable(member) && is_chosen(members, self, &candidate);
}
