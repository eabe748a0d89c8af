// Commands of the replicated state machine: what is written to control's log. Each is one typed operation
// with the sender's key and, for operators' changes, the revision that it replaces.
#pragma once

#include <cstdint>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "core/endpoint.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::configuration {

/// Creates or revises a zone.
struct PutZone {
  core::ZoneName name;
  core::RegionName region;

  MSGPACK_DEFINE(name, region);
};

/// Creates or revises a policy. Its source was checked before it was proposed.
struct PutPolicy {
  core::PolicyName name;
  std::string source;

  MSGPACK_DEFINE(name, source);
};

/// Creates or revises a group. `draining` of the databases is ignored: draining has its own command.
struct PutGroup {
  core::GroupName name;
  std::vector<protocol::Database> databases;
  core::PolicyName policy;  ///< Empty: the default policy.

  MSGPACK_DEFINE(name, databases, policy);
};

/// Makes a daemon part of the fleet, or renews it under a later incarnation.
struct AdmitDaemon {
  core::DaemonId id;
  std::uint64_t incarnation = 0;
  core::ZoneName zone;
  core::Endpoint internal;
  core::Endpoint callers;

  MSGPACK_DEFINE(id, incarnation, zone, internal, callers);
};

/// Begins or ends a daemon's planned stop.
struct SetDaemonState {
  core::DaemonId id;
  std::uint64_t incarnation = 0;  ///< 0: whichever is current.
  protocol::DaemonState state = protocol::DaemonState::kLeaving;

  MSGPACK_DEFINE(id, incarnation, state);
};

/// Takes a daemon out of the fleet, unless a later incarnation has come.
struct RemoveDaemon {
  core::DaemonId id;
  std::uint64_t incarnation = 0;

  MSGPACK_DEFINE(id, incarnation);
};

/// Begins or ends a database's planned stop.
struct SetDatabaseDraining {
  core::DatabaseId database;
  bool draining = true;

  MSGPACK_DEFINE(database, draining);
};

/// First step of a change of primary: from here on nobody trusts the primary of `expected_term`.
struct BeginPrimaryChange {
  core::GroupName group;
  core::Term expected_term = 0;
  core::Term new_term = 0;

  MSGPACK_DEFINE(group, expected_term, new_term);
};

/// Last step of a change of primary.
struct CompletePrimaryChange {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;
  core::LogPosition start;

  MSGPACK_DEFINE(group, term, primary, start);
};

/// Records where a control replica is reached.
struct RecordControl {
  core::ControlId id;
  core::Endpoint internal;
  core::Endpoint operators;

  MSGPACK_DEFINE(id, internal, operators);
};

/// Begins or ends a control replica's planned stop.
struct SetControlLeaving {
  core::ControlId id;
  bool leaving = true;

  MSGPACK_DEFINE(id, leaving);
};

/// Forgets a control replica that has been removed from consensus.
struct RemoveControl {
  core::ControlId id;

  MSGPACK_DEFINE(id);
};

/// Changes of several daemons as one revision. One that is refused leaves the others in force; of several for
/// one daemon the first counts.
struct ChangeDaemons {
  std::vector<AdmitDaemon> admit;
  std::vector<SetDaemonState> set_state;
  std::vector<RemoveDaemon> remove;

  MSGPACK_DEFINE(admit, set_state, remove);
};

/// Replaces all routes, provided that the version is above the one in force; otherwise changes nothing.
/// Creates the groups that it names.
struct PutRouteTable {
  protocol::RouteTable table;
  std::string document;  ///< The table as its author wrote it, for reading back.

  MSGPACK_DEFINE(table, document);
};

/// Which database was found at the endpoint that a notice names.
enum class EndpointAnswer : std::uint8_t {
  /// In commands of versions that did not ask: whoever names an endpoint last is believed to be there.
  kNotAsked,
  kThisDatabase,     ///< The one that the notice names, in its group.
  kAnotherDatabase,  ///< Another one, or one of another group.
  kNoAnswer,         ///< None answered, or none had to be asked. Proves nothing.
};

/// A database of a self-registered group tells of itself. One that answers at its endpoint has taken the
/// place and the log of the group's database that was known there. Within a life, draining is never taken
/// back.
struct RegisterDatabase {
  core::GroupName group;
  protocol::Database database;
  EndpointAnswer endpoint_answer = EndpointAnswer::kNotAsked;

  MSGPACK_DEFINE(group, database, endpoint_answer);
};

/// A self-registered database ends: it takes no more work.
struct DepartDatabase {
  core::DatabaseId database;
  std::uint64_t born = 0;  ///< Life that ends; 0: whichever is known.

  MSGPACK_DEFINE(database, born);
};

/// Forgets a departed database whose log is no longer needed.
struct RemoveDatabase {
  core::DatabaseId database;
  std::uint64_t born = 0;  ///< Life that has departed; 0: whichever is known.

  MSGPACK_DEFINE(database, born);
};

/// The log of a database that has started again has been seen to hold all acknowledged writes.
struct ProveDatabaseLog {
  core::DatabaseId database;
  std::uint64_t born = 0;  ///< Life whose log was seen.

  MSGPACK_DEFINE(database, born);
};

/// Takes over the primary that a group has had since before control knew it.
struct AdoptPrimary {
  core::GroupName group;
  core::Term term = 0;
  core::DatabaseId primary;

  MSGPACK_DEFINE(group, term, primary);
};

/// Every operation. The order is part of the format on disk: append only.
using Operation =
    std::variant<PutZone, PutPolicy, PutGroup, AdmitDaemon, SetDaemonState, RemoveDaemon, SetDatabaseDraining,
                 BeginPrimaryChange, CompletePrimaryChange, RecordControl, SetControlLeaving, RemoveControl,
                 ChangeDaemons, PutRouteTable, RegisterDatabase, DepartDatabase, RemoveDatabase, AdoptPrimary,
                 ProveDatabaseLog>;

/// One entry of the log.
struct Command {
  core::RequestKey key;  ///< Empty: a command of control itself, idempotent by its content.
  protocol::Revision expected_revision = 0;  ///< Put commands: revision of the thing; 0 creates it.
  Operation operation;

  /// Packs as [key, expected revision, number of the operation, operation].
  template <typename Packer>
  void msgpack_pack(Packer& packer) const {
    packer.pack_array(kFields);
    packer.pack(key);
    packer.pack(expected_revision);
    packer.pack(static_cast<std::uint32_t>(operation.index()));
    std::visit([&packer](const auto& value) { packer.pack(value); }, operation);
  }

  /// Throws msgpack::type_error when the object is not a command that this version knows.
  void msgpack_unpack(const msgpack::object& object) {
    if (object.type != msgpack::type::ARRAY || object.via.array.size != kFields) {
      throw msgpack::type_error();
    }
    const msgpack::object* fields = object.via.array.ptr;
    fields[0].convert(key);
    fields[1].convert(expected_revision);
    const auto number = fields[2].as<std::uint32_t>();
    unpack_operation(number, fields[3], std::make_index_sequence<std::variant_size_v<Operation>>{});
  }

 private:
  static constexpr std::uint32_t kFields = 4;

  template <std::size_t... Numbers>
  void unpack_operation(std::uint32_t number, const msgpack::object& object,
                        std::index_sequence<Numbers...> /*numbers*/) {
    const bool known = ((number == Numbers &&
                         (operation = object.as<std::variant_alternative_t<Numbers, Operation>>(), true)) ||
                        ...);
    if (!known) {
      throw msgpack::type_error();
    }
  }
};

/// What a command did: the answer that a resent key gets again.
struct CommandResult {
  std::optional<core::Error> error;  ///< Empty: accepted.
  /// Accepted: the revision at which the thing is now. Operators' changes: the new revision.
  protocol::Revision revision = 0;
  /// Conflicts: revision of the thing as it stands.
  protocol::Revision current_revision = 0;
  bool changed = false;   ///< It made a new revision.
  bool replayed = false;  ///< This is the answer that the key got the first time.

  MSGPACK_DEFINE(error, revision, current_revision, changed, replayed);
};

}  // namespace pipitpond::configuration

MSGPACK_ADD_ENUM(pipitpond::configuration::EndpointAnswer);
