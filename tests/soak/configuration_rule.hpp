// The rule on configurations, judged while a soak runs, from what operators, readers and callers are told.
// Knows nothing of how the fleet works, reads no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/clock.hpp"
#include "soak/moving_route.hpp"

namespace pipitpond::soak {

/// In which an acknowledged change is in force at every proxy that is in touch.
inline constexpr core::Duration kInForceLimit = std::chrono::seconds(3);
/// Proxies and control count as in touch after so long without a fault.
inline constexpr core::Duration kContactTime = std::chrono::seconds(4);

/// By so much a change may be later while control is disturbed, but more than half of it is not.
inline constexpr core::Duration kDisturbedControlLimit = std::chrono::seconds(12);

/// A question to one proxy.
struct ProxyLook {
  std::size_t proxy = 0;
  core::Instant started;  ///< When this life of the proxy began.
  core::Instant asked;
  core::Instant answered;
};

/// What a caller learned of one proxy.
struct ObeyedVersion : ProxyLook {
  Version version = 0;
};

/// Where a proxy's moving route led for one statement or session.
struct RouteUse : ProxyLook {
  std::vector<RoutePlace> places;  ///< One of these.
};

/// What of a fault is told.
enum class FaultEdge : std::uint8_t {
  kMoment,  ///< It has begun and ended.
  kBegin,
  kEnd,
};

/// Collects what is said, and each broken promise.
class ConfigurationRule {
 public:
  explicit ConfigurationRule(std::size_t controls) : controls_(controls) {}

  /// A valid change is about to be sent for the first time.
  void on_sent(Version version, std::string body);
  /// Control answered a valid change 200.
  void on_acknowledged(core::Instant at, Version version);
  /// Control answered a valid change with a refusal that ends an operator's call.
  void on_refused(Version version, unsigned status, const std::string& reason);
  /// Control answered a change that is invalid as `shape` says.
  void on_invalid_answered(const std::string& shape, unsigned status);

  /// A replica answered a read with 200.
  void on_read(std::size_t replica, core::Instant sent, const std::string& body);
  /// A proxy served, by the routes of a version.
  void on_obeyed(const ObeyedVersion& seen);
  /// A statement on the moving route ran at a service, or was refused for want of a route.
  void on_route_used(const RouteUse& use);
  /// A fault of a control replica: no proxy counts as in touch while it lasts, and for a while after it.
  void on_control_fault(std::size_t replica, core::Instant at, FaultEdge edge = FaultEdge::kMoment);
  /// The same for all replicas at once.
  void on_fault_of_all_control(core::Instant at, FaultEdge edge = FaultEdge::kMoment);
  /// A fault of one proxy or its way to control.
  void on_proxy_fault(std::size_t proxy, core::Instant at, FaultEdge edge = FaultEdge::kMoment);

  /// Newest version that was acknowledged before a moment; 0: none.
  [[nodiscard]] Version newest_acknowledged(core::Instant before) const;
  /// Body of a valid change, or null.
  [[nodiscard]] const std::string* body(Version version) const;
  [[nodiscard]] const std::map<Version, core::Instant>& acknowledged() const { return acknowledged_; }
  /// Every broken promise as one line; empty when all were kept.
  [[nodiscard]] const std::vector<std::string>& broken() const { return broken_; }
  [[nodiscard]] std::size_t reads() const { return reads_; }
  [[nodiscard]] std::size_t observations() const { return observations_; }
  [[nodiscard]] std::size_t route_uses() const { return route_uses_; }

 private:
  /// Whether a version explains what was seen of a proxy.
  using Explains = std::function<bool(Version)>;

  /// What one life of a proxy has shown: from each of these moments on it obeys no older version.
  struct ShownVersions {
    core::Instant started;
    std::vector<std::pair<core::Instant, Version>> from;  ///< Both rise.

    [[nodiscard]] Version before(core::Instant moment) const;
    void note(core::Instant moment, Version version);
  };

  /// The least version that a rule allows, and how a look that needs an older one breaks it.
  struct Floor {
    Version version = 0;
    std::string kind;
    std::string reason;
  };

  /// Faults of one process.
  struct Faults {
    core::Instant last;         ///< When one began or ended last.
    std::size_t under_way = 0;  ///< That have not ended.

    void note(core::Instant at, FaultEdge edge);
  };

  void judge_look(const ProxyLook& look, const std::string& what, const Explains& explains);
  [[nodiscard]] std::vector<Floor> floors_of(const ProxyLook& look);
  /// The least version from `floor` on that explains what was seen; empty if none does.
  [[nodiscard]] std::optional<Version> least_version(Version floor, const Explains& explains) const;
  [[nodiscard]] bool is_calm(std::size_t proxy, core::Instant at) const;
  /// How many replicas were hit after a moment.
  [[nodiscard]] std::size_t controls_hit_after(core::Instant moment) const;
  /// For how long a proxy may lack an acknowledged change; empty when no bound holds.
  [[nodiscard]] std::optional<core::Duration> in_force_limit(std::size_t proxy, core::Instant at) const;
  /// Kinds are told apart so that one that lasts doesn't hide the others.
  void blame(const std::string& kind, const std::string& text);

  std::map<Version, std::string> bodies_;          ///< Valid ones, as sent.
  std::map<Version, core::Instant> acknowledged_;  ///< First acknowledgement.
  std::map<Version, RoutePlace> places_;           ///< Where the moving route leads by each of them.
  std::map<std::size_t, ShownVersions> shown_;     ///< By proxy, of its present life.
  std::size_t controls_;
  std::map<std::size_t, Faults> control_faults_;
  std::map<std::size_t, Faults> proxy_faults_;
  std::size_t reads_ = 0;
  std::size_t observations_ = 0;
  std::size_t route_uses_ = 0;
  std::map<std::string, std::size_t> broken_of_kind_;
  std::vector<std::string> broken_;
};

}  // namespace pipitpond::soak
