#include "proxy/transactions.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::proxy {
namespace {

/// Ended transactions that are remembered.
constexpr std::size_t kMaxEnded = 4096;

}  // namespace

void Transactions::add(std::shared_ptr<OpenTransaction> transaction) {
  const core::TransactionId id = transaction->id;
  open_.emplace(id, std::move(transaction));
}

std::shared_ptr<OpenTransaction> Transactions::find(const core::TransactionId& id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : found->second;
}

void Transactions::end(const core::TransactionId& id, EndedTransaction ended) {
  open_.erase(id);
  if (!ended_.emplace(id, std::move(ended)).second) {
    return;
  }
  ended_order_.push_back(id);
  if (ended_order_.size() > kMaxEnded) {
    ended_.erase(ended_order_.front());
    ended_order_.pop_front();
  }
}

std::optional<EndedTransaction> Transactions::ended(const core::TransactionId& id) const {
  const auto found = ended_.find(id);
  if (found == ended_.end()) {
    return std::nullopt;
  }
  return found->second;
}

std::vector<std::shared_ptr<OpenTransaction>> Transactions::idle_since(core::Instant before) const {
  std::vector<std::shared_ptr<OpenTransaction>> idle;
  for (const auto& [id, transaction] : open_) {
    const bool free = !transaction->busy && !transaction->keeping_alive;
    if (free && transaction->last_used < before) {
      idle.push_back(transaction);
    }
  }
  return idle;
}

std::vector<std::shared_ptr<OpenTransaction>> Transactions::unused_since(core::Instant before) const {
  std::vector<std::shared_ptr<OpenTransaction>> unused;
  for (const auto& [id, transaction] : open_) {
    const bool free = !transaction->busy && !transaction->keeping_alive;
    if (free && transaction->connection->last_used() < before) {
      unused.push_back(transaction);
    }
  }
  return unused;
}

std::size_t Transactions::open_on(const core::DatabaseId& database) const {
  return static_cast<std::size_t>(std::count_if(open_.begin(), open_.end(), [&database](const auto& entry) {
    return entry.second->database == database;
  }));
}

}  // namespace pipitpond::proxy
