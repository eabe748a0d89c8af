#include "raft/log.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::raft {
namespace {

/// True if the entries are contiguous with the snapshot or contain the snapshot's last entry.
bool is_contiguous(const Snapshot& snapshot, const std::vector<Entry>& entries) {
  if (entries.empty()) return false;
  const auto first = entries.front().index;
  if (first > snapshot.index) return first == snapshot.index + 1;
  if (entries.back().index < snapshot.index) return false;
  return entries[snapshot.index - first].term == snapshot.term;
}

std::size_t size_of(const Entry& entry) {
  return entry.command.size() + sizeof(Entry);
}

}  // namespace

std::size_t size_of(const std::vector<Entry>& entries) {
  std::size_t bytes = 0;
  for (const auto& entry : entries) bytes += size_of(entry);
  return bytes;
}

Log::Log(Snapshot snapshot, std::vector<Entry> entries)
    : snapshot_(std::move(snapshot)), base_{snapshot_.term, snapshot_.index} {
  memberships_.push_back({snapshot_.index, snapshot_.membership});
  if (!is_contiguous(snapshot_, entries)) return;
  auto begin = entries.begin();
  if (begin->index <= snapshot_.index) {
    // The first entry itself is not kept: it supplies the term of the position before the log.
    base_ = {begin->term, begin->index};
    ++begin;
  }
  for (auto entry = begin; entry != entries.end(); ++entry) append(std::move(*entry));
}

Term Log::last_term() const {
  return entries_.empty() ? base_.term : entries_.back().term;
}

std::optional<Term> Log::term_at(Index index) const {
  if (index == base_.index) return base_.term;
  if (index < base_.index || index > last_index()) return std::nullopt;
  return at(index).term;
}

bool Log::contains(const core::LogPosition& position) const {
  const auto term = term_at(position.index);
  return term.has_value() && *term == position.term;
}

std::vector<Entry> Log::slice(Index from, std::size_t max_entries, std::size_t max_bytes) const {
  std::vector<Entry> result;
  std::size_t bytes = 0;
  for (auto index = from; index <= last_index() && result.size() < max_entries; ++index) {
    bytes += size_of(at(index));
    if (bytes > max_bytes && !result.empty()) break;
    result.push_back(at(index));
  }
  return result;
}

std::vector<Entry> Log::range(Index from, Index to) const {
  std::vector<Entry> result;
  for (auto index = from; index <= to; ++index) result.push_back(at(index));
  return result;
}

Index Log::last_index_up_to_term(Index index, Term term) const {
  index = std::min(index, last_index());
  while (index > base_.index && at(index).term > term) --index;
  return index;
}

void Log::append(Entry entry) {
  record_membership(entry);
  entries_.push_back(std::move(entry));
}

std::optional<Index> Log::merge(const std::vector<Entry>& entries) {
  std::optional<Index> first_new;
  for (const auto& entry : entries) {
    if (entry.index <= base_.index) continue;
    if (term_at(entry.index) == entry.term) continue;
    if (entry.index <= last_index()) truncate_from(entry.index);
    if (!first_new) first_new = entry.index;
    append(entry);
  }
  return first_new;
}

Index Log::first_trailing_index(Index index, const TrailingLimits& trailing) const {
  Index first = index + 1;
  std::size_t bytes = 0;
  while (first > first_index() && index + 1 - first < trailing.entries) {
    bytes += size_of(at(first - 1));
    if (bytes > trailing.bytes) break;
    --first;
  }
  return first;
}

void Log::compact(Index index, std::string state, const TrailingLimits& trailing) {
  snapshot_ = Snapshot{index, *term_at(index), membership_at(index), std::move(state)};
  while (memberships_.size() > 1 && memberships_[1].index <= index) memberships_.erase(memberships_.begin());
  const Index first_kept = first_trailing_index(index, trailing);
  while (first_index() < first_kept) {
    base_ = {entries_.front().term, entries_.front().index};
    entries_.pop_front();
  }
}

void Log::restore(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  base_ = {snapshot_.term, snapshot_.index};
  entries_.clear();
  memberships_ = {{snapshot_.index, snapshot_.membership}};
}

const Membership& Log::membership_at(Index index) const {
  auto found = std::find_if(memberships_.rbegin(), memberships_.rend(),
                            [index](const auto& candidate) { return candidate.index <= index; });
  return found == memberships_.rend() ? memberships_.front().membership : found->membership;
}

void Log::truncate_from(Index index) {
  while (last_index() >= index) entries_.pop_back();
  while (memberships_.size() > 1 && memberships_.back().index >= index) memberships_.pop_back();
}

void Log::record_membership(const Entry& entry) {
  // The snapshot's membership already includes the changes up to its index.
  if (entry.kind != EntryKind::kMembership || entry.index <= snapshot_.index) return;
  memberships_.push_back({entry.index, entry.membership});
}

}  // namespace pipitpond::raft
