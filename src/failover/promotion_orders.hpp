// Until when promotions that were ordered from an external service may still take effect. Performs no I/O.
//
// Such an order can't be taken back, and nothing at the databases refuses it: it ends the fences of the
// database that it names. Fences therefore prove nothing while an order for another database may be under
// way. The time of an order is bounded instead: by its transport, which stops sending, and by the service's
// own time to carry it out.
#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.hpp"

namespace pipitpond::failover {

/// An order that is requested is sent within this time, or not at all.
inline constexpr core::Duration kOrderConnectLimit = std::chrono::milliseconds(250);
/// The kernel drops what was not acknowledged this long after its first retransmission. Room for two.
inline constexpr core::Duration kOrderUnacknowledgedLimit = std::chrono::milliseconds(300);
/// An order arrives within this time after it was sent, or never. Its second retransmission leaves after two
/// retransmission timeouts, 200 ms and a round trip each, so round trips may take 120 ms.
inline constexpr core::Duration kOrderTransmissionLimit = std::chrono::milliseconds(700);
/// An order takes effect within this time of its arrival: some hundred ms, by the platform's protocol.
inline constexpr core::Duration kOrderTakesEffectWithin = std::chrono::milliseconds(1000);
/// An order takes effect within this time after it was sent, or never.
inline constexpr core::Duration kOrderLifetime = kOrderTransmissionLimit + kOrderTakesEffectWithin;

/// The orders for one group.
class PromotionOrders {
 public:
  /// This replica begins to lead. Until now an earlier leader may have sent orders.
  void on_leadership(core::Instant now);
  /// The term that this leadership began is committed. No order of an earlier leader was under way then.
  void on_term_begun() { term_begun_ = true; }
  /// Orders of another candidate follow. Those before are over: see own_may_take_effect().
  void on_candidate_chosen();
  void on_requested(core::Instant now);
  /// One of the candidate's orders was refused or not sent.
  void on_without_effect();
  /// The time of one of the candidate's orders is over.
  void on_failed();
  /// The candidate leads.
  void on_effect_seen();

  /// Whether an order of this leadership may still take effect.
  [[nodiscard]] bool own_may_take_effect(core::Instant now) const;
  /// Whether an order of an earlier leader may still take effect in a term that it began.
  [[nodiscard]] bool earlier_may_take_effect(core::Instant now) const;
  /// False while orders of earlier leaders may still arrive, of whichever group. Their fencing tokens are
  /// lower than those of this leadership, and must not follow them at the service.
  [[nodiscard]] bool may_send(core::Instant now) const;

 private:
  core::Instant leadership_since_;
  bool term_begun_ = false;
  std::uint32_t requested_ = 0;   ///< Orders for the present candidate that may have had an effect.
  std::uint32_t unfinished_ = 0;  ///< Those of them without a known end.
  std::optional<core::Instant> last_requested_;
};

}  // namespace pipitpond::failover
