// Owners of all databases, kept current change by change. Working out all owners anew costs databases times
// daemons; a change of one daemon touches only the databases that it owns or comes to own.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "core/ids.hpp"
#include "ownership/ownership.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::ownership {

/// The same answers as owners() and budget() for the last configuration that it was given.
class OwnerTable {
 public:
  /// Takes the next configuration; any later one will do.
  void update(const protocol::Configuration& configuration);
  /// Takes the change that follows directly on what was taken last. Costs a comparison for each database, and
  /// nothing for daemons that the change doesn't touch.
  void apply(const protocol::Change& change);

  /// Owners in order of preference; empty for an unknown database.
  [[nodiscard]] const std::vector<core::DaemonId>& owners(const core::DatabaseId& database) const;
  /// What `self` may use of each database that it owns.
  [[nodiscard]] std::map<core::DatabaseId, Budget> budgets(const core::DaemonId& self) const;

 private:
  using LiveDaemons = std::map<core::DaemonId, core::ZoneName>;

  struct Entry {
    core::ZoneName zone;
    std::uint32_t connection_limit = 0;
    std::uint32_t slots = 0;
    std::uint32_t max_owners = 0;
    std::vector<core::DaemonId> owners;
    /// A daemon that joins with less weight than this owns nothing here, whatever its zone. Nothing: not
    /// known.
    std::optional<std::uint64_t> least_weight;
    core::GroupName group;  ///< That declares the database.
    bool declared = false;  ///< By the configuration or the group that is being taken.
  };

  struct DaemonChanges {
    std::vector<core::DaemonId> joined;
    std::vector<core::DaemonId> departed;  ///< Also those that moved, which joined too.
  };

  static LiveDaemons live_daemons(const protocol::Configuration& configuration);
  [[nodiscard]] DaemonChanges changes_to(const LiveDaemons& next) const;
  [[nodiscard]] std::optional<std::uint64_t> least_weight(const core::DatabaseId& database,
                                                          const Entry& entry, std::size_t wanted) const;
  DaemonChanges take_daemons(const protocol::Change& change);
  void take_group(const protocol::Group& group);
  void update_entry(const core::GroupName& group, const protocol::Database& database,
                    const DaemonChanges& changes);
  /// Chooses the owners anew where the changes, or `anew`, ask for it.
  void choose_owners(const core::DatabaseId& database, Entry& entry, const DaemonChanges& changes, bool anew);

  LiveDaemons live_;
  std::map<core::GroupName, std::vector<core::DatabaseId>> declared_by_;
  std::unordered_map<core::DatabaseId, Entry> entries_;
};

}  // namespace pipitpond::ownership
