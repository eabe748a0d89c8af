// The fleet's configuration as it is replicated by control and cached by every daemon.
#pragma once

#include <cstdint>
#include <map>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/tenant.hpp"

namespace pipitpond::protocol {

/// Number of the last change applied by control. Grows by one with each change; never goes back.
using Revision = std::uint64_t;

/// A region's zone.
struct Zone {
  core::ZoneName name;
  core::RegionName region;
  Revision revision = 0;  ///< Revision that last changed this zone.

  MSGPACK_DEFINE(name, region, revision);
};

/// A routing policy: a short Lua program (see docs/POLICIES.md).
struct Policy {
  core::PolicyName name;
  std::string source;
  Revision revision = 0;

  MSGPACK_DEFINE(name, source, revision);
};

/// A database as operators declare it.
struct Database {
  core::DatabaseId id;
  core::Endpoint endpoint;
  core::ZoneName zone;
  std::uint32_t connection_limit = 0;
  std::uint32_t slots = 0;
  bool draining = false;  ///< Set by an operator, or by control when the database or platform says so.
  /// Said that it ends. Its log may still hold the only receipt of an acknowledged write, so it counts as a
  /// member until the others have caught up.
  bool departed = false;
  /// Owners that share its connections; 0: kOwnersPerDatabase.
  std::uint32_t max_owners = 0;
  /// Start of its current life, in milliseconds of Unix time; 0: it does not say. A database that starts
  /// again under its id begins a new life, which knows nothing of the earlier one.
  std::uint64_t born = 0;
  /// It has started again while it was a member, and may have lost entries that it had received before. Until
  /// its log has been seen to reach the primary's, it is no evidence of which writes were acknowledged.
  bool log_unproven = false;

  MSGPACK_DEFINE(id, endpoint, zone, connection_limit, slots, draining, departed, max_owners, born,
                 log_unproven);
};

/// Start of one primary's term.
struct TermStart {
  core::Term term = 0;
  core::DatabaseId primary;  ///< Empty while the change is in progress.
  core::LogPosition start;   ///< Last surviving entry of earlier terms.

  MSGPACK_DEFINE(term, primary, start);
};

/// A database group with its history of primaries.
struct Group {
  core::GroupName name;
  std::vector<Database> databases;
  core::PolicyName policy;
  /// Revision that last changed what operators declare. A change of primary or a drain leaves it alone, so
  /// that it doesn't turn an operator's revision into a conflict.
  Revision revision = 0;
  /// Terms in order, the last being current. A last element without a primary is a change in progress.
  /// Bounded to kMaxTermHistory; tokens older than the oldest are reported as lost.
  std::vector<TermStart> terms;
  /// Replicas that have received a write before it is acknowledged. 0: the group acknowledges by majority.
  std::uint32_t sync_replicas = 0;
  /// Its databases register and leave by themselves.
  bool self_registered = false;
  /// Connections that each of its databases takes from all callers together; only of self-registered groups.
  std::uint32_t connection_limit = 0;

  MSGPACK_DEFINE(name, databases, policy, revision, terms, sync_replicas, self_registered, connection_limit);
};

inline constexpr std::size_t kMaxTermHistory = 64;

/// Which databases may serve a route's reads.
enum class RouteKind : std::uint8_t {
  kPrimary,  ///< The primary only: every read sees every acknowledged write.
  kBounded,  ///< Any that holds all writes acknowledged longer ago than the route's staleness.
  kSession,  ///< Like kBounded, and it holds all writes of the caller's own session.
};

/// How statements that callers address to one database name are served.
struct Route {
  std::string name;
  std::string database;     ///< The name that callers ask for.
  std::string path_prefix;  ///< Tells routes of one database name apart.
  RouteKind kind = RouteKind::kPrimary;
  core::GroupName group;
  std::uint32_t timeout_ms = 0;        ///< Of one statement.
  std::uint32_t goal_ms = 0;           ///< In which an operation should be served; 0: not told.
  std::uint32_t priority = 0;          ///< 0 goes first.
  std::uint32_t max_attempts = 0;      ///< 0: not told.
  std::uint32_t max_staleness_ms = 0;  ///< Of kBounded and kSession.
  bool is_public = false;              ///< Callers need no key.

  bool operator==(const Route&) const = default;

  MSGPACK_DEFINE(name, database, path_prefix, kind, group, timeout_ms, goal_ms, priority, max_attempts,
                 max_staleness_ms, is_public);
};

/// What a table of routes says about one group.
struct RoutedGroup {
  core::GroupName name;
  std::uint32_t connection_limit = 0;
  std::uint32_t sync_replicas = 0;

  bool operator==(const RoutedGroup&) const = default;

  MSGPACK_DEFINE(name, connection_limit, sync_replicas);
};

/// All routes under a version that comes from outside. The highest version prevails.
struct RouteTable {
  std::uint64_t version = 0;  ///< 0: none yet.
  std::vector<Route> routes;
  std::vector<RoutedGroup> groups;
  std::uint32_t transaction_idle_ms =
      0;  ///< A transaction without a statement for this long is ended; 0: never.
  /// Who may ask on routes that are not public. Nothing: the table knows no tenants, and callers need no key.
  std::optional<Tenants> tenants;

  bool operator==(const RouteTable&) const = default;

  MSGPACK_DEFINE(version, routes, groups, transaction_idle_ms, tenants);
};

/// What turns one table of routes into the next: routes at the front and at the back stay as they are, those
/// between them are replaced. A table goes to every daemon with each change; of 1,000 routes one changed
/// route takes below 150 bytes in place of 42 KB (packed size), which counts when changes come each 0.1 s.
struct RouteTableEdit {
  std::uint64_t base_version = 0;  ///< Of the table that this changes.
  std::uint64_t version = 0;
  std::uint64_t kept_first = 0;                    ///< Routes at the front that stay.
  std::uint64_t replaced = 0;                      ///< Routes after them that go.
  std::vector<Route> inserted;                     ///< What comes in their place.
  std::optional<std::vector<RoutedGroup>> groups;  ///< Empty: as they were.
  std::uint32_t transaction_idle_ms = 0;
  std::optional<TenantsEdit> tenants;  ///< Nothing: the new table knows no tenants.

  MSGPACK_DEFINE(base_version, version, kept_first, replaced, inserted, groups, transaction_idle_ms, tenants);
};

/// The edit that turns `before` into `after`.
RouteTableEdit edit_between(const RouteTable& before, const RouteTable& after);
/// False, and nothing changed, when the edit is of another table.
bool apply(RouteTable& table, const RouteTableEdit& edit);

/// Whether a daemon takes new work.
enum class DaemonState : std::uint8_t { kLive, kLeaving };

/// A proxy daemon that control has admitted.
struct Daemon {
  core::DaemonId id;
  std::uint64_t incarnation = 0;  ///< Grows with each start of the daemon.
  core::ZoneName zone;
  core::Endpoint internal;  ///< For other daemons.
  core::Endpoint callers;   ///< For callers.
  DaemonState state = DaemonState::kLive;
  Revision revision = 0;
  /// Revision at which it became live after it had not been: a restart that control did not notice in time to
  /// remove it leaves this alone.
  Revision live_since = 0;

  MSGPACK_DEFINE(id, incarnation, zone, internal, callers, state, revision, live_since);
};

/// A control replica as daemons and operators reach it. Consensus keeps its own list of voters.
struct Control {
  core::ControlId id;
  core::Endpoint internal;   ///< For daemons and other control replicas.
  core::Endpoint operators;  ///< For operators.
  bool leaving = false;
  Revision revision = 0;

  MSGPACK_DEFINE(id, internal, operators, leaving, revision);
};

/// The whole configuration at one revision.
struct Configuration {
  Revision revision = 0;
  std::map<core::GroupName, Group> groups;
  std::map<core::ZoneName, Zone> zones;
  std::map<core::PolicyName, Policy> policies;
  std::map<core::DaemonId, Daemon> daemons;
  std::map<core::ControlId, Control> controls;
  RouteTable routes;

  MSGPACK_DEFINE(revision, groups, zones, policies, daemons, controls, routes);
};

/// What one change did: the new value of each thing that it touched, and the names it removed.
struct Change {
  Revision revision = 0;
  std::vector<Group> groups;
  std::vector<Zone> zones;
  std::vector<Policy> policies;
  std::vector<Daemon> daemons;
  std::vector<core::DaemonId> removed_daemons;
  std::vector<Control> controls;
  std::vector<core::ControlId> removed_controls;
  std::optional<RouteTable> routes;  ///< The first table; later ones come as edits.
  std::optional<RouteTableEdit> route_edit;

  MSGPACK_DEFINE(revision, groups, zones, policies, daemons, removed_daemons, controls, removed_controls,
                 routes, route_edit);
};

/// Applies a change that follows directly on `configuration.revision`; returns false and changes nothing
/// when it does not, or edits another table of routes.
bool apply(Configuration& configuration, const Change& change);

/// The group that has the database, or null.
const Group* group_of(const Configuration& configuration, const core::DatabaseId& database);

/// The database's declaration, or null.
const Database* find_database(const Configuration& configuration, const core::DatabaseId& database);
/// The group's declaration of the database, or null.
const Database* find_database(const Group& group, const core::DatabaseId& database);

/// The group's current primary, or empty while a change is in progress.
std::optional<TermStart> current_primary(const Group& group);

/// The first term after `term` that has had a primary, or null.
const TermStart* next_term_with_primary(const Group& group, core::Term term);

/// True when the log with which the term's primary began to lead is certain to hold the entry: both come from
/// the same leader. Unlike survived(), it takes nothing for granted of terms that control knows no primary
/// of.
bool certainly_began_with(const TermStart& start, const core::LogPosition& position);

/// True when the entry is part of the group's surviving history, as far as the history reaches.
bool survived(const Group& group, const core::LogPosition& position);

}  // namespace pipitpond::protocol

MSGPACK_ADD_ENUM(pipitpond::protocol::DaemonState);
MSGPACK_ADD_ENUM(pipitpond::protocol::RouteKind);
