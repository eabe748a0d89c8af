// Plans of what self-registered databases say of themselves, and of what control then learns of them.
//
// A change of primary decides who can hold an acknowledged write by counting a group's members, so a database
// that acknowledges entries and is no member makes acknowledged writes get lost. A database has a life from
// its start to its end; `born`, which it says of itself, tells lives of one id apart:
// - A message of an earlier life than the known one is late, and changes nothing.
// - A later life begins anew: neither draining nor departed. One that begins while the earlier life is still
// a
//   member may have lost that life's log, so it proves nothing until its log has caught up.
// - A removed database is a member again once a later life says so.
// Databases that don't say when they were born have one life for each id.
//
// A notice may also be late, or come from another writer than a database. So what it claims takes no member's
// place unless the named database has answered at its endpoint:
// - A database that answers takes the place of its group's member at that endpoint, whose log has passed to
// it.
//   A member of another group there has ended and takes its log along: it has departed.
// - While nobody answers, both are members. One member too many delays a change of primary; one too few loses
//   acknowledged writes.
// - A database is a member of one group, and groups are those that the table of routes names.
#pragma once

#include "configuration/plan.hpp"

namespace pipitpond::configuration {

/// Whether the database's endpoint must be asked before the notice is planned: it would join or move, or
/// another member claims the same endpoint.
bool needs_endpoint_answer(const protocol::Configuration& configuration,
                           const RegisterDatabase& registration);

Plan plan_one(const PlanContext& context, const RegisterDatabase& registration);
Plan plan_one(const PlanContext& context, const DepartDatabase& departure);
Plan plan_one(const PlanContext& context, const RemoveDatabase& removal);
Plan plan_one(const PlanContext& context, const AdoptPrimary& adoption);
Plan plan_one(const PlanContext& context, const ProveDatabaseLog& proof);

}  // namespace pipitpond::configuration
