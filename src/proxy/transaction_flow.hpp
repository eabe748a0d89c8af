// Flow of transactions: begun on the current primary through one owner, whose identifier any daemon can read
// and pass requests on to. Nothing in a transaction is sent twice; a commit whose answer was lost is settled
// by its key.
#pragma once

#include <utility>  // Before Asio's coroutine headers, which lack it.
//
#include <boost/asio/awaitable.hpp>
#include <memory>
#include <string>

#include "core/ids.hpp"
#include "proxy/active_request.hpp"
#include "proxy/caller_answers.hpp"
#include "proxy/caller_requests.hpp"
#include "proxy/caller_transactions.hpp"
#include "proxy/flow_parts.hpp"
#include "proxy/transaction_id.hpp"

namespace pipitpond::proxy {

/// Runs transactions.
class TransactionFlow {
 public:
  TransactionFlow(FlowParts& parts, std::string secret) : parts_(parts), secret_(std::move(secret)) {}

  /// Begins a transaction; the answer names it.
  boost::asio::awaitable<CallerAnswer> begin(core::RequestId id, BeginTransactionRequest begin);
  /// Runs a statement inside its transaction.
  boost::asio::awaitable<CallerAnswer> run(core::RequestId id, StatementRequest statement);
  boost::asio::awaitable<CallerAnswer> commit(core::RequestId id, EndTransactionRequest commit);
  boost::asio::awaitable<CallerAnswer> roll_back(core::RequestId id, EndTransactionRequest roll_back);

  /// Those that began here and may be open.
  [[nodiscard]] CallerTransactions& open_transactions() { return open_; }

 private:
  using Request = std::shared_ptr<ActiveRequest>;

  void use_decider(ActiveRequest& request, bool in_transaction);
  boost::asio::awaitable<retry::AttemptReport> attempt_in_transaction(Request request,
                                                                      TransactionAddress address,
                                                                      protocol::ForwardRequest forward);
  core::Result<TransactionAddress> read_address(const core::TransactionId& id) const;

  FlowParts& parts_;
  std::string secret_;
  CallerTransactions open_;
};

}  // namespace pipitpond::proxy
