// Faults that were injected into a run, with their times, so that the oracle can tell what they caused.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/ids.hpp"
#include "workload/history.hpp"

namespace pipitpond::oracle {

/// Kinds of fault that a run injects.
enum class FaultKind : std::uint8_t {
  kKillPrimary,
  kFreezePrimary,
  kCutPrimary,        ///< Nothing passes between it and daemons, control and peers.
  kCutPrimaryOneWay,  ///< What is sent to it arrives, its answers don't.
  kRaiseLag,
  kRestartReplica,
  kKillProxy,
  kFreezeProxy,
  kRestartProxy,
  kDrainProxy,
  kDrainDatabase,
  kRaceOperators,
  kKillControlLeader,
  kFreezeControl,
};

NLOHMANN_JSON_SERIALIZE_ENUM(FaultKind, {{FaultKind::kKillPrimary, "kill_primary"},
                                         {FaultKind::kFreezePrimary, "freeze_primary"},
                                         {FaultKind::kCutPrimary, "cut_primary"},
                                         {FaultKind::kCutPrimaryOneWay, "cut_primary_one_way"},
                                         {FaultKind::kRaiseLag, "raise_lag"},
                                         {FaultKind::kRestartReplica, "restart_replica"},
                                         {FaultKind::kKillProxy, "kill_proxy"},
                                         {FaultKind::kFreezeProxy, "freeze_proxy"},
                                         {FaultKind::kRestartProxy, "restart_proxy"},
                                         {FaultKind::kDrainProxy, "drain_proxy"},
                                         {FaultKind::kDrainDatabase, "drain_database"},
                                         {FaultKind::kRaceOperators, "race_operators"},
                                         {FaultKind::kKillControlLeader, "kill_control_leader"},
                                         {FaultKind::kFreezeControl, "freeze_control"}})

/// One injected fault.
struct FaultRecord {
  FaultKind kind = FaultKind::kKillPrimary;
  std::string target;     ///< Process or database that it hit.
  core::GroupName group;  ///< Empty unless it hit a database.
  workload::UnixMicros began_us = 0;
  workload::UnixMicros ended_us = 0;  ///< When the fault itself was over (process restarted, link healed).
  std::string remark;

  NLOHMANN_DEFINE_TYPE_INTRUSIVE(FaultRecord, kind, target, group, began_us, ended_us, remark)
};

/// True for the faults that take a group's primary away without notice.
bool takes_primary(FaultKind kind);
/// True for planned stops.
bool is_drain(FaultKind kind);
/// True for planned stops of a proxy.
bool stops_proxy(FaultKind kind);

}  // namespace pipitpond::oracle
