#include "control/fetch_replies.hpp"

#include <algorithm>
#include <utility>

#include "wire/compact.hpp"

namespace pipitpond::control {

FetchReplies::SharedBytes FetchReplies::current_reply(protocol::Revision after) {
  const protocol::Revision current = machine_.configuration().revision;
  if (current != cached_revision_ || cached_replies_.size() >= kMaxCachedReplies) {
    cached_replies_.clear();
    cached_revision_ = current;
  }
  const auto [found, is_new] = cached_replies_.try_emplace(after);
  if (is_new) {
    found->second = std::make_shared<const std::string>(wire::pack_compact(machine_.changes_after(after)));
  }
  return found->second;
}

protocol::FetchPage FetchReplies::page(const protocol::FetchRequest& request) {
  protocol::FetchPage page;
  page.newest = machine_.configuration().revision;
  SharedBytes bytes = find_transfer(request);
  if (bytes) {
    page.revision = request.transfer;
    page.offset = request.offset;
  } else {
    bytes = current_reply(request.after);
    page.revision = page.newest;
    if (bytes->size() > kFetchPageBytes) {
      keep_transfer(Transfer{request.after, page.revision, bytes});
    }
  }
  page.total = bytes->size();
  page.bytes = bytes->substr(page.offset, kFetchPageBytes);
  return page;
}

FetchReplies::SharedBytes FetchReplies::find_transfer(const protocol::FetchRequest& request) {
  const auto found = std::find_if(transfers_.begin(), transfers_.end(), [&request](const Transfer& existing) {
    return existing.after == request.after && existing.revision == request.transfer;
  });
  if (found == transfers_.end() || request.offset >= found->bytes->size()) {
    return nullptr;
  }
  std::rotate(found, found + 1, transfers_.end());
  return transfers_.back().bytes;
}

void FetchReplies::keep_transfer(Transfer transfer) {
  const bool kept = std::any_of(transfers_.begin(), transfers_.end(), [&transfer](const Transfer& existing) {
    return existing.after == transfer.after && existing.revision == transfer.revision;
  });
  if (kept) {
    return;
  }
  transfer_bytes_ += transfer.bytes->size();
  transfers_.push_back(std::move(transfer));
  while (transfer_bytes_ > kMaxTransferBytes && transfers_.size() > 1) {
    transfer_bytes_ -= transfers_.front().bytes->size();
    transfers_.pop_front();
  }
}

}  // namespace pipitpond::control
