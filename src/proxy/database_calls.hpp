// Calls of an owner at its databases: what single attempts and the statements of transactions share.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/clock.hpp"
#include "core/error.hpp"
#include "core/ids.hpp"
#include "protocol/forward.hpp"
#include "proxy/database_connection.hpp"
#include "proxy/owned_databases.hpp"
#include "proxy/pool.hpp"

namespace pipitpond::proxy {

/// Names attempts, so that each answer of a database tells which attempt it belongs to.
class AttemptNames {
 public:
  /// A name that this process has not used before.
  core::RequestId next(const core::RequestId& request);

 private:
  std::uint64_t last_ = 0;
};

/// One call that takes any connection of the database's pool.
struct PooledCall {
  std::shared_ptr<OwnedDatabase> database;
  DatabaseCall call;
  core::Term term = 0;     ///< The term whose primary is meant; 0: any.
  core::Instant deadline;  ///< For getting a connection.
  core::Instant give_up;   ///< For the answer.
};

/// Makes the call on pooled connections until something was sent. `used` is the connection that was used; it
/// is empty when none came by the deadline, and "not run" is the outcome then.
boost::asio::awaitable<CallResult> call_pooled(PooledCall call, std::shared_ptr<PooledConnection> used);

/// Tells the database's monitor what came of a call.
void observe(OwnedDatabase& database, const CallResult& result);

/// Waits until a statement whose connection was lost at this moment has surely ended, or nearly so.
boost::asio::awaitable<void> outlast(boost::asio::io_context& io, std::shared_ptr<OwnedDatabase> database);

/// Body of /v1/execute.
std::string execute_body(const protocol::ForwardRequest& request, const core::RequestId& attempt);

/// The reply that a call's result stands for.
protocol::ForwardReply reply_of(const protocol::ForwardRequest& request, CallResult result);

/// Reply to a request of which nothing was sent to the database.
protocol::ForwardReply refusal(const protocol::ForwardRequest& request, core::Error error);

}  // namespace pipitpond::proxy
