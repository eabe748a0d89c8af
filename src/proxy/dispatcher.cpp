#include "proxy/dispatcher.hpp"

#include <utility>

#include "ownership/ownership.hpp"

namespace pipitpond::proxy {
namespace {

using protocol::ForwardReply;
using protocol::ForwardRequest;

/// Room for an owner's reply after the deadline that it was given.
constexpr core::Duration kReplyAllowance = std::chrono::milliseconds(20);

ForwardReply failed_reply(const ForwardRequest& request, core::Outcome outcome, core::Error error) {
  ForwardReply reply;
  reply.request = request.request;
  reply.database = request.database;
  reply.outcome = outcome;
  reply.error = std::move(error);
  return reply;
}

/// True when the owner made no attempt at the database and another owner may.
bool another_owner_may_try(const ForwardReply& reply) {
  if (reply.outcome != core::Outcome::kNotRun) {
    return false;
  }
  const core::ErrorKind kind = reply.error.kind;
  return kind == core::ErrorKind::kConnectionRefused || kind == core::ErrorKind::kUnavailable ||
         kind == core::ErrorKind::kLeaving || kind == core::ErrorKind::kNoCapacity;
}

std::uint32_t slots_of(const protocol::Configuration& configuration, const core::GroupName& group,
                       const core::DatabaseId& database) {
  const auto found = configuration.groups.find(group);
  if (found == configuration.groups.end()) {
    return 0;
  }
  for (const protocol::Database& declaration : found->second.databases) {
    if (declaration.id == database) {
      return declaration.slots;
    }
  }
  return 0;
}

}  // namespace

Dispatcher::Dispatcher(DispatcherOptions options, const agent::Agent& agent, OwnedDatabases& owned,
                       Executor& executor, Peers& peers, DatabaseViews& views)
    : options_(std::move(options)),
      agent_(agent),
      owned_(owned),
      executor_(executor),
      peers_(peers),
      views_(views) {}

boost::asio::awaitable<ForwardReply> Dispatcher::attempt(ForwardRequest request, core::Instant deadline) {
  const core::Instant sent_at = core::BootClock::now();
  views_.begin_attempt(request.database);
  ForwardReply reply = co_await attempt_through_owners(request, deadline);
  views_.end_attempt(request, reply, sent_at, core::BootClock::now());
  co_return reply;
}

boost::asio::awaitable<ForwardReply> Dispatcher::attempt_through_owners(ForwardRequest request,
                                                                        core::Instant deadline) {
  core::Error error{core::ErrorKind::kUnavailable,
                    "No daemon that owns database " + request.database.value() + " can be reached.",
                    "Send the request again shortly.", 200};
  ForwardReply reply = failed_reply(request, core::Outcome::kNotRun, std::move(error));
  const std::vector<core::DaemonId> owners = owners_for(request.group, request.database, request.tenant);
  for (const core::DaemonId& owner : owners) {
    reply = co_await counted_attempt_at(owner, request, deadline);
    if (!another_owner_may_try(reply)) {
      co_return reply;
    }
  }
  views_.note_unreachable(request.database, core::BootClock::now());
  co_return reply;
}

boost::asio::awaitable<ForwardReply> Dispatcher::counted_attempt_at(core::DaemonId daemon,
                                                                    ForwardRequest request,
                                                                    core::Instant deadline) {
  if (request.operation != protocol::Operation::kExecute) {
    co_return co_await attempt_at(std::move(daemon), std::move(request), deadline);
  }
  const OwnerLoadKey key{request.database, daemon, request.tenant};
  const core::Instant sent_at = core::BootClock::now();
  owner_loads_.begin(key, sent_at);
  ForwardReply reply = co_await attempt_at(std::move(daemon), std::move(request), deadline);
  owner_loads_.end(key, reply, sent_at, core::BootClock::now());
  co_return reply;
}

boost::asio::awaitable<ForwardReply> Dispatcher::attempt_at(core::DaemonId daemon, ForwardRequest request,
                                                            core::Instant deadline) {
  const core::Duration left = time_left(deadline);
  request.deadline_ms = static_cast<std::uint32_t>(core::to_millis(left));
  if (request.deadline_ms == 0) {
    co_return failed_reply(request, core::Outcome::kNotRun,
                           {core::ErrorKind::kDeadlineExceeded, "The deadline passed before an attempt.",
                            "Send the request again with a longer deadline.", 1});
  }
  if (daemon == options_.self) {
    co_return co_await executor_.run(std::move(request));
  }
  ++forwarded_;
  auto forwarded = co_await peers_.forward(std::move(daemon), request, left + kReplyAllowance);
  if (forwarded) {
    co_return std::move(forwarded).value();
  }
  const bool nothing_sent = forwarded.error().kind == core::ErrorKind::kConnectionRefused;
  co_return failed_reply(request, nothing_sent ? core::Outcome::kNotRun : core::Outcome::kUnknown,
                         forwarded.error());
}

std::vector<core::DaemonId> Dispatcher::owners_for(const core::GroupName& group,
                                                   const core::DatabaseId& database,
                                                   const core::TenantName& tenant) const {
  const core::Instant now = core::BootClock::now();
  const std::uint32_t slots = slots_of(agent_.configuration(), group, database);
  const std::vector<core::DaemonId>& owners = agent_.owner_table().owners(database);
  std::vector<routing::OwnerView> views;
  views.reserve(owners.size());
  for (const core::DaemonId& daemon : owners) {
    routing::OwnerView view = view_of(daemon, database);
    view.slots = ownership::share(slots, owners, daemon);
    const TenantLoad load = owner_loads_.load({database, daemon, tenant}, view.slots, now);
    view.tenant_wait = load.wait;
    view.tenant_sent = load.sent_lately;
    views.push_back(std::move(view));
  }
  return routing::choose_owners(views, options_.zone);
}

routing::OwnerView Dispatcher::view_of(const core::DaemonId& daemon, const core::DatabaseId& database) const {
  routing::OwnerView view;
  view.daemon = daemon;
  view.is_self = daemon == options_.self;
  const auto& daemons = agent_.configuration().daemons;
  const auto declared = daemons.find(daemon);
  if (declared != daemons.end()) {
    view.zone = declared->second.zone;
  }
  if (view.is_self) {
    const std::shared_ptr<OwnedDatabase> owned = owned_.find(database);
    view.live = owned != nullptr;
    if (owned) {
      const admission::Queue& queue = owned->gate().queue();
      view.outstanding = queue.running() + static_cast<std::uint32_t>(queue.queued());
    }
    return view;
  }
  const Peer* peer = peers_.find(daemon);
  view.live = peer != nullptr && peer->answers();
  view.outstanding = peer != nullptr ? peer->outstanding : 0;
  return view;
}

}  // namespace pipitpond::proxy
