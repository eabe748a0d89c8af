// Confirms without a lease that a term had not been replaced when an answer arrived: a majority of the
// group's databases that says so in a status requested after the answer. A replacement fences a majority
// first, and two majorities share a database. Questions that come up during a round share the next one.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <map>
#include <memory>
#include <vector>

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/configuration.hpp"
#include "proxy/status_client.hpp"
#include "proxy/waiter.hpp"

namespace pipitpond::proxy {

/// Asks the databases of groups.
class TermConfirmation {
 public:
  explicit TermConfirmation(boost::asio::io_context& io) : io_(io) {}

  /// True when a majority of the group's databases has, from now on, promised no term later than `term`.
  boost::asio::awaitable<bool> confirm(protocol::Group group, core::Term term, core::Instant deadline);

 private:
  /// Terms that the databases which answered have promised.
  struct Round {
    std::vector<core::Term> promised;
    std::size_t databases = 0;
  };
  using Asker = Waiter<Round>;
  struct GroupState {
    bool running = false;
    std::vector<std::shared_ptr<Asker>> next_round;
  };

  void start_round(const protocol::Group& group);
  boost::asio::awaitable<void> ask(std::shared_ptr<Round> round, core::DatabaseId database,
                                   std::shared_ptr<StatusClient> client, std::shared_ptr<std::size_t> pending,
                                   std::shared_ptr<Waiter<bool>> finished);
  boost::asio::awaitable<void> run_round(protocol::Group group, std::vector<std::shared_ptr<Asker>> askers);
  std::shared_ptr<StatusClient> client_for(const protocol::Database& database);

  boost::asio::io_context& io_;
  std::map<core::GroupName, GroupState> groups_;
  std::map<core::Endpoint, std::shared_ptr<StatusClient>> clients_;
};

}  // namespace pipitpond::proxy
