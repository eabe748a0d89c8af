#include "oracle/fault_record.hpp"

namespace pipitpond::oracle {

bool takes_primary(FaultKind kind) {
  return kind == FaultKind::kKillPrimary || kind == FaultKind::kFreezePrimary ||
         kind == FaultKind::kCutPrimary || kind == FaultKind::kCutPrimaryOneWay;
}

bool is_drain(FaultKind kind) {
  return stops_proxy(kind) || kind == FaultKind::kDrainDatabase;
}

bool stops_proxy(FaultKind kind) {
  return kind == FaultKind::kDrainProxy || kind == FaultKind::kRestartProxy;
}

}  // namespace pipitpond::oracle
