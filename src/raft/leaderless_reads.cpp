#include "raft/leaderless_reads.hpp"

namespace pipitpond::raft {

std::vector<ReadResult> LeaderlessReads::add(ReadToken token) {
  std::vector<ReadResult> dropped;
  reads_.push_back(token);
  if (reads_.size() > kMaxLeaderlessReads) {
    dropped.push_back({reads_.front(), false, 0});
    reads_.pop_front();
    in_round_ -= in_round_ > 0 ? 1 : 0;
  }
  return dropped;
}

bool LeaderlessReads::needs_round(core::Instant now) const {
  const bool is_under_way = end_.has_value() && now < round_began_ + kLeaderlessRoundLimit;
  return !is_under_way && in_round_ < reads_.size();
}

void LeaderlessReads::begin_round(core::Instant now, const core::LogPosition& end) {
  in_round_ = reads_.size();
  round_began_ = now;
  end_ = end;
  agreeing_.clear();
  disagreeing_.clear();
  ++round_;
}

void LeaderlessReads::on_answer(const core::ControlId& from, Round round, Term term,
                                const core::LogPosition& end) {
  if (!end_ || round != round_) return;
  const bool agrees = end == *end_ && term == end.term;
  (agrees ? agreeing_ : disagreeing_).insert(from);
}

void LeaderlessReads::on_asked(core::Instant now) {
  const bool lasts_too_long = now >= round_began_ + kLeaderlessRoundLimit;
  next_question_ = lasts_too_long ? core::Instant::max() : now + kLogEndQuestionInterval;
}

std::vector<ReadResult> LeaderlessReads::confirm() {
  std::vector<ReadResult> results;
  for (; in_round_ > 0; --in_round_) {
    results.push_back({reads_.front(), true, end_->index});
    reads_.pop_front();
  }
  end_.reset();
  return results;
}

std::vector<ReadResult> LeaderlessReads::fail_all() {
  std::vector<ReadResult> results;
  for (const ReadToken token : reads_) results.push_back({token, false, 0});
  reads_.clear();
  in_round_ = 0;
  end_.reset();
  return results;
}

}  // namespace pipitpond::raft
