#include "proxy/term_confirmation.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <utility>

#include "protocol/tunables.hpp"

namespace pipitpond::proxy {
namespace {

/// Answers of a round that took longer than this are not counted.
constexpr core::Duration kOldestConfirmation = 2 * protocol::kProbeTimeout;

}  // namespace

boost::asio::awaitable<bool> TermConfirmation::confirm(protocol::Group group, core::Term term,
                                                       core::Instant deadline) {
  auto asker = std::make_shared<Asker>(io_);
  GroupState& state = groups_[group.name];
  state.next_round.push_back(asker);
  // A round in progress may have asked before this answer arrived, so it doesn't count: wait for the next.
  if (!state.running) {
    start_round(group);
  }
  const auto round = co_await asker->wait_until(deadline);
  if (!round) {
    co_return false;
  }
  const auto agreeing = std::count_if(round->promised.begin(), round->promised.end(),
                                      [term](core::Term promised) { return promised <= term; });
  co_return static_cast<std::size_t>(agreeing) * 2 > round->databases;
}

void TermConfirmation::start_round(const protocol::Group& group) {
  GroupState& state = groups_[group.name];
  state.running = true;
  std::vector<std::shared_ptr<Asker>> askers;
  askers.swap(state.next_round);
  boost::asio::co_spawn(io_, run_round(group, std::move(askers)), boost::asio::detached);
}

boost::asio::awaitable<void> TermConfirmation::run_round(protocol::Group group,
                                                         std::vector<std::shared_ptr<Asker>> askers) {
  const core::Instant asked_at = core::BootClock::now();
  auto round = std::make_shared<Round>();
  round->databases = group.databases.size();
  auto pending = std::make_shared<std::size_t>(group.databases.size());
  auto finished = std::make_shared<Waiter<bool>>(io_);
  for (const protocol::Database& database : group.databases) {
    boost::asio::co_spawn(io_, ask(round, database.id, client_for(database), pending, finished),
                          boost::asio::detached);
  }
  co_await finished->wait_until(asked_at + protocol::kProbeTimeout);
  if (core::BootClock::now() - asked_at > kOldestConfirmation) {
    round->promised.clear();  // This process stood still: the answers say how it was, not how it is.
  }
  for (const std::shared_ptr<Asker>& asker : askers) {
    Round copy = *round;
    asker->provide(std::move(copy));
  }
  GroupState& state = groups_[group.name];
  state.running = false;
  if (!state.next_round.empty()) {
    start_round(group);
  }
}

boost::asio::awaitable<void> TermConfirmation::ask(std::shared_ptr<Round> round, core::DatabaseId database,
                                                   std::shared_ptr<StatusClient> client,
                                                   std::shared_ptr<std::size_t> pending,
                                                   std::shared_ptr<Waiter<bool>> finished) {
  const auto status = co_await client->ask(protocol::kProbeTimeout);
  // Another database at the endpoint has no say in this group.
  if (status && status.value().database == database) {
    round->promised.push_back(status.value().term);
  }
  --*pending;
  // A majority is enough: a slow third one must not delay the answer.
  const bool majority = round->promised.size() * 2 > round->databases;
  if (*pending == 0 || majority) {
    finished->provide(true);
  }
}

std::shared_ptr<StatusClient> TermConfirmation::client_for(const protocol::Database& database) {
  std::shared_ptr<StatusClient>& client = clients_[database.endpoint];
  if (!client) {
    client = std::make_shared<StatusClient>(io_, database.endpoint);
  }
  return client;
}

}  // namespace pipitpond::proxy
