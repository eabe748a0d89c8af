#include "proxy/admission_gate.hpp"

#include <utility>

namespace pipitpond::proxy {

Slot::Slot(std::shared_ptr<AdmissionGate> gate, admission::Ticket ticket)
    : gate_(std::move(gate)), ticket_(ticket) {}

Slot::Slot(Slot&& other) noexcept
    : gate_(std::move(other.gate_)), ticket_(other.ticket_), served_(other.served_) {}

Slot& Slot::operator=(Slot&& other) noexcept {
  if (this != &other) {
    give_back();
    gate_ = std::move(other.gate_);
    ticket_ = other.ticket_;
    served_ = other.served_;
  }
  return *this;
}

Slot::~Slot() {
  give_back();
}

void Slot::give_back() {
  if (gate_) {
    const std::shared_ptr<AdmissionGate> gate = std::move(gate_);
    gate->finish(ticket_, served_);
  }
}

AdmissionGate::AdmissionGate(boost::asio::io_context& io)
    : io_(io), queue_(admission::QueueOptions{}), timer_(io) {}

boost::asio::awaitable<core::Result<Slot>> AdmissionGate::enter(core::TenantName tenant,
                                                                core::Instant deadline) {
  const admission::Ticket ticket = ++last_ticket_;
  auto entrant = std::make_shared<Entrant>(io_);
  entrants_.emplace(ticket, entrant);
  carry_out(queue_.submit(ticket, tenant, deadline, core::BootClock::now()));
  auto entered = co_await entrant->wait_until(deadline);
  if (!entered) {
    entrants_.erase(ticket);
    carry_out(queue_.cancel(ticket, core::BootClock::now()));
    co_return core::fail(core::ErrorKind::kOverloaded, "No slot of the database came free in time.",
                         "Try again later or with a longer deadline.",
                         static_cast<std::uint32_t>(core::to_millis(queue_.expected_wait(tenant))) + 1);
  }
  co_return std::move(*entered);
}

void AdmissionGate::set_slots(std::uint32_t slots) {
  if (slots != queue_.slots()) {
    carry_out(queue_.set_slots(slots, core::BootClock::now()));
  }
}

void AdmissionGate::refuse_all(const core::Error& error) {
  carry_out(queue_.refuse_all(error));
}

void AdmissionGate::finish(admission::Ticket ticket, bool served) {
  carry_out(queue_.finish(ticket, served, core::BootClock::now()));
}

void AdmissionGate::carry_out(admission::Actions actions) {
  for (const admission::Ticket ticket : actions.started) {
    // A slot whose entrant has gone is destroyed here, which gives it back.
    Slot slot(shared_from_this(), ticket);
    const std::shared_ptr<Entrant> entrant = take(ticket);
    if (entrant) {
      entrant->provide(std::move(slot));
    }
  }
  for (admission::Refusal& refusal : actions.refused) {
    const std::shared_ptr<Entrant> entrant = take(refusal.ticket);
    if (entrant) {
      entrant->provide(core::outcome::failure(std::move(refusal.error)));
    }
  }
  arm_timer();
}

std::shared_ptr<AdmissionGate::Entrant> AdmissionGate::take(admission::Ticket ticket) {
  const auto found = entrants_.find(ticket);
  if (found == entrants_.end()) {
    return nullptr;
  }
  std::shared_ptr<Entrant> entrant = std::move(found->second);
  entrants_.erase(found);
  return entrant;
}

void AdmissionGate::arm_timer() {
  const auto next = queue_.next_check();
  // A timer that rings no later stays as it is: it finds nothing due then, and is armed anew. Queued requests
  // nearly always start long before, so that arming it for each would be in vain.
  if (!next || (armed_for_ && *armed_for_ <= *next)) {
    return;
  }
  armed_for_ = *next;
  timer_.expires_after(time_left(*next));
  timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& error) {
    const std::shared_ptr<AdmissionGate> gate = weak.lock();
    if (!error && gate) {
      gate->armed_for_.reset();
      gate->carry_out(gate->queue_.expire(core::BootClock::now()));
    }
  });
}

}  // namespace pipitpond::proxy
