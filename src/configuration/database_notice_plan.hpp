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
#pragma once

#include "configuration/plan.hpp"

namespace pipitpond::configuration {

Plan plan_one(const PlanContext& context, const RegisterDatabase& registration);
Plan plan_one(const PlanContext& context, const DepartDatabase& departure);
Plan plan_one(const PlanContext& context, const RemoveDatabase& removal);
Plan plan_one(const PlanContext& context, const AdoptPrimary& adoption);
Plan plan_one(const PlanContext& context, const ProveDatabaseLog& proof);

}  // namespace pipitpond::configuration
