// Lets coroutines wait in an admission::Queue: carries out its actions and its timer.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "admission/queue.hpp"
#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {

class AdmissionGate;

/// The right to run one statement; given back when destroyed.
class Slot {
 public:
  Slot() = default;
  Slot(std::shared_ptr<AdmissionGate> gate, admission::Ticket ticket);
  Slot(Slot&& other) noexcept;
  Slot& operator=(Slot&& other) noexcept;
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot();

  /// The statement ran to its end, so its time tells how long statements take.
  void mark_served() { served_ = true; }

 private:
  void give_back();

  std::shared_ptr<AdmissionGate> gate_;
  admission::Ticket ticket_ = 0;
  bool served_ = false;
};

/// The queue in front of one database.
class AdmissionGate : public std::enable_shared_from_this<AdmissionGate> {
 public:
  explicit AdmissionGate(boost::asio::io_context& io);

  /// Waits for a slot. Fails at once with kOverloaded and a time to retry when none can come in time.
  boost::asio::awaitable<core::Result<Slot>> enter(core::TenantName tenant, core::Instant deadline);
  void set_slots(std::uint32_t slots);
  void refuse_all(const core::Error& error);

  [[nodiscard]] const admission::Queue& queue() const { return queue_; }

 private:
  friend class Slot;
  using Entrant = Waiter<core::Result<Slot>>;

  void finish(admission::Ticket ticket, bool served);
  void carry_out(admission::Actions actions);
  std::shared_ptr<Entrant> take(admission::Ticket ticket);
  void arm_timer();

  boost::asio::io_context& io_;
  admission::Queue queue_;
  boost::asio::steady_timer timer_;
  std::optional<core::Instant> armed_for_;  ///< When the timer rings.
  admission::Ticket last_ticket_ = 0;
  std::unordered_map<admission::Ticket, std::shared_ptr<Entrant>> entrants_;
};

}  // namespace pipitpond::proxy
