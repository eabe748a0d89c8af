#include "agent/fetch_transfer.hpp"

#include <utility>

#include "wire/compact.hpp"

namespace pipitpond::agent {

protocol::FetchRequest FetchTransfer::request(const core::DaemonId& daemon, protocol::Revision after) const {
  protocol::FetchRequest request;
  request.daemon = daemon;
  request.after = after;
  if (after == after_ && !bytes_.empty()) {
    request.transfer = revision_;
    request.offset = bytes_.size();
  }
  return request;
}

bool FetchTransfer::goes_on_with(protocol::Revision after, const protocol::FetchPage& page) const {
  const bool same_answer = after == after_ && page.revision == revision_ && page.total == total_;
  return same_answer && !bytes_.empty() && page.offset <= bytes_.size();
}

bool FetchTransfer::take(protocol::Revision after, const protocol::FetchPage& page, bool awaited) {
  const bool sound = page.total <= wire::kMaxCompactBytes && page.offset + page.bytes.size() <= page.total;
  if (!sound) {
    return false;
  }
  if (goes_on_with(after, page)) {
    const std::uint64_t known = bytes_.size() - page.offset;
    if (known >= page.bytes.size()) {
      return false;
    }
    bytes_.append(page.bytes, known);
    return true;
  }
  const bool begins = page.offset == 0 && !page.bytes.empty();
  if (!begins || (!awaited && !bytes_.empty())) {
    return false;
  }
  after_ = after;
  revision_ = page.revision;
  total_ = page.total;
  bytes_ = page.bytes;
  return true;
}

std::optional<std::string> FetchTransfer::take_whole() {
  if (bytes_.empty() || bytes_.size() < total_) {
    return std::nullopt;
  }
  return std::exchange(bytes_, {});
}

}  // namespace pipitpond::agent
