// Admission to one database at one of its owners: a bounded queue in front of the owner's share of the slots,
// fair between tenants, which refuses at once what it can't start in time (see docs/design/admission.md).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"

namespace pipitpond::admission {

/// Identifies a request in the queue; chosen by the caller, unique while in use.
using Ticket = std::uint64_t;

/// Settings of a queue.
struct QueueOptions {
  std::uint32_t slots = 1;  ///< Statements that may run at once.
  /// Waiting requests, divided among the tenants that are here; over its part a tenant's requests are
  /// refused, whatever their deadline. A tenant that was alone may be over its part for a while.
  std::size_t max_queued = 256;
  /// Longest wait that is accepted, whatever the deadline: a longer queue adds latency and no throughput.
  core::Duration max_wait = std::chrono::milliseconds(1000);
  core::Duration initial_service = std::chrono::milliseconds(5);  ///< Until service times were measured.
  /// Usage of a tenant fades with this time constant; the tenant with the least usage for its weight goes
  /// first.
  core::Duration usage_memory = std::chrono::milliseconds(1000);
};

/// Longest time that a refused request is told to stay away.
inline constexpr core::Duration kMaxRetryAfter = std::chrono::milliseconds(5000);

/// Tenants that are told apart at one time. Callers name their tenant, so the number must be bounded; further
/// names share one tenant's part.
inline constexpr std::size_t kMaxTenants = 256;

/// A ticket that is refused now, with the error to answer at once: kOverloaded with retry_after_ms.
struct Refusal {
  Ticket ticket = 0;
  core::Error error;
};

/// What to do now: start the statements of `started`, answer those of `refused`.
struct Actions {
  std::vector<Ticket> started;
  std::vector<Refusal> refused;
};

/// The queue of one database. The returned actions are to be carried out at once, in order.
class Queue {
 public:
  explicit Queue(QueueOptions options);

  /// Asks for a slot: the ticket is started or refused now, or queued and named in a later call's actions.
  Actions submit(Ticket ticket, const core::TenantName& tenant, core::Instant deadline, core::Instant now);
  /// A started ticket has ended. `served` tells whether it ran to its end, so that its time counts as a
  /// service time.
  Actions finish(Ticket ticket, bool served, core::Instant now);
  /// The caller has gone: drops a queued ticket; a started one still has to be finished.
  Actions cancel(Ticket ticket, core::Instant now);
  /// Changes the owner's share of the slots. Running statements end as they are.
  Actions set_slots(std::uint32_t slots, core::Instant now);
  /// Refuses all queued tickets, for a stop or a lost database.
  Actions refuse_all(const core::Error& error);
  /// Refuses queued tickets that can no longer be served in time. Call it at next_check().
  Actions expire(core::Instant now);
  /// When the next queued ticket can no longer be served in time; empty when nothing is queued.
  [[nodiscard]] std::optional<core::Instant> next_check() const;

  /// Weight of a tenant's share; 1 unless set.
  void set_weight(const core::TenantName& tenant, double weight);

  [[nodiscard]] std::uint32_t slots() const { return options_.slots; }
  [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
  [[nodiscard]] std::size_t queued() const { return waiting_.size(); }
  /// Moving average of the service time of all tenants.
  [[nodiscard]] core::Duration service_time() const { return service_; }
  /// Estimated time until a request of this tenant would start if it were submitted now.
  [[nodiscard]] core::Duration expected_wait(const core::TenantName& tenant) const;

 private:
  /// A waiting ticket, ordered by when it must start to be served in time.
  struct LatestStart {
    core::Instant at;
    Ticket ticket = 0;

    auto operator<=>(const LatestStart&) const = default;
  };
  struct Waiting {
    core::TenantName tenant;
    core::Instant latest_start;
  };
  struct Running {
    core::TenantName tenant;
    core::Instant started_at;
    core::Duration charged;  // Usage charged at the start; set right at the end.
  };
  struct Tenant {
    double usage = 0.0;    // Slot-microseconds, fading; as of `faded_at`.
    double refused = 0.0;  // Refused requests that are expected back, fading out as capacity passes by.
    core::Instant faded_at;
    core::Duration service;  // Moving average of its service times.
    std::uint32_t running = 0;
    std::deque<Ticket> waiting;  // First in, first out.
  };
  using Tenants = std::map<core::TenantName, Tenant>;

  /// Sums over all tenants, taken once for each call.
  struct Totals {
    double weight = 0.0;
    double usage = 0.0;
  };

  [[nodiscard]] core::TenantName counted_name(const core::TenantName& name) const;
  Tenant& tenant_at(const core::TenantName& name, core::Instant now);
  void fade(core::Instant now);
  void dispatch(core::Instant now, Actions& actions);
  void start(Tenants::iterator tenant, Ticket ticket, core::Instant now);
  Tenants::iterator next_tenant();
  void refuse_hopeless(core::Instant now, Actions& actions);
  Refusal refuse(const core::TenantName& name, Tenant& tenant, Ticket ticket) const;
  void enqueue(const core::TenantName& name, Tenant& tenant, const LatestStart& latest_start);
  /// Takes a ticket out of the queue; end() when it does not wait.
  Tenants::iterator dequeue(Ticket ticket);
  [[nodiscard]] bool can_wait(const core::TenantName& name, const Tenant& tenant, core::Instant deadline,
                              core::Instant now) const;
  [[nodiscard]] double weight(const core::TenantName& name) const;
  [[nodiscard]] Totals totals() const;
  [[nodiscard]] double available_slots(const core::TenantName& name, const Totals& totals) const;
  [[nodiscard]] core::Duration time_for(double requests, const core::TenantName& name) const;
  [[nodiscard]] core::Duration service_of(const core::TenantName& name) const;
  [[nodiscard]] std::uint32_t slot_limit(const core::TenantName& name, const Tenant& tenant) const;
  [[nodiscard]] bool may_start(const core::TenantName& name, const Tenant& tenant) const;

  QueueOptions options_;
  core::Duration service_;
  Tenants tenants_;
  std::set<LatestStart> latest_starts_;  // Of all waiting tickets.
  std::unordered_map<Ticket, Waiting> waiting_;
  std::map<core::TenantName, double> weights_;
  std::unordered_map<Ticket, Running> running_;
};

}  // namespace pipitpond::admission
