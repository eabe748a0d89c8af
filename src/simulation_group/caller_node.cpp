#include "simulation_group/caller_node.hpp"

#include <algorithm>
#include <utility>

namespace pipitpond::simulation::group {
namespace {

constexpr core::Duration kAnswerTimeout = std::chrono::milliseconds(2500);
constexpr core::Duration kShortTimeout = std::chrono::milliseconds(150);
constexpr core::Duration kResendPause = std::chrono::milliseconds(100);
/// Sends of one write with a key before its caller gives up.
constexpr std::uint32_t kMaxSends = 6;
constexpr core::UnixMillis kWallStart = 1'790'000'000'000;
const std::string kSharedRow = "shared";

}  // namespace

CallerNode::CallerNode(Fabric& fabric, CallerOptions options, std::vector<DaemonNode*> daemons,
                       History& history)
    : fabric_(fabric),
      options_(std::move(options)),
      daemons_(std::move(daemons)),
      history_(history),
      host_(fabric.scheduler, options_.name),
      daemon_(fabric.random.below(daemons_.size())) {}

void CallerNode::start() {
  host_.start();
  next();
}

void CallerNode::next() {
  if (stopping_) {
    return;
  }
  host_.after(fabric_.random.between(options_.pause_min, options_.pause_max), [this] {
    if (fabric_.random.chance(options_.changes_daemon_per_mille)) {
      change_daemon();
    }
    if (fabric_.random.chance(options_.reads_per_mille)) {
      read();
    } else {
      write();
    }
  });
}

void CallerNode::change_daemon() {
  if (daemons_.size() > 1) {
    daemon_ = (daemon_ + 1 + fabric_.random.below(daemons_.size() - 1)) % daemons_.size();
  }
}

void CallerNode::send(const CallerRequest& request, std::function<void(const CallEnd<CallerReply>&)> done) {
  DaemonNode* to = daemons_[daemon_];
  const bool lose = fabric_.random.chance(options_.lost_answers_per_mille);
  history_.lost_answers += lose ? 1 : 0;
  const bool impatient = !request.key.empty() && fabric_.random.chance(options_.impatient_per_mille);
  call<CallerReply>(
      fabric_, host_, to->host(), impatient ? kShortTimeout : kAnswerTimeout,
      [to, request, lose](const std::function<void(const CallerReply&)>& reply) {
        to->serve(request, [reply, lose](const CallerReply& answer) {
          if (!lose) {
            reply(answer);
          }
        });
      },
      std::move(done));
}

std::string CallerNode::own_row() const {
  return options_.name + "-" + std::to_string(row_);
}

// --- Writes ------------------------------------------------------------------------------------------------

void CallerNode::write() {
  WriteRecord record;
  record.caller = options_.name;
  record.group = options_.group;
  record.record = options_.name + "/" + std::to_string(++written_);
  record.row = own_row();
  record.sent = fabric_.scheduler.now();
  const bool keyed = !fabric_.random.chance(options_.without_key_per_mille);
  if (keyed) {
    const auto millis = kWallStart + core::to_millis(record.sent.time_since_epoch());
    record.key = core::RequestKey(std::to_string(millis) + "-" + record.record);
  }
  // Without a key half of them may run more than once.
  record.repeatable = !keyed && fabric_.random.chance(500);
  history_.writes.push_back(std::move(record));
  send_write(history_.writes.size() - 1);
}

void CallerNode::send_write(std::size_t index) {
  WriteRecord& record = history_.writes[index];
  ++record.sends;
  CallerRequest request;
  request.group = options_.group;
  request.kind = core::StatementKind::kWrite;
  request.statement = {
      {"op", "add"}, {"table", "rows"}, {"id", record.row}, {"amount", 1}, {"record", record.record}};
  request.key = record.key;
  request.repeatable = record.repeatable;
  request.session = session_;
  send(request, [this, index](const CallEnd<CallerReply>& end) { after_write(index, end); });
}

void CallerNode::after_write(std::size_t index, const CallEnd<CallerReply>& end) {
  WriteRecord& record = history_.writes[index];
  record.ended = fabric_.scheduler.now();
  if (!end.answer) {
    change_daemon();
    resend_or_give_up(index);
    return;
  }
  const CallerReply& reply = *end.answer;
  if (reply.error.kind == core::ErrorKind::kPositionLost && reply.outcome != core::Outcome::kDone) {
    start_over();
    resend_or_give_up(index);
    return;
  }
  record.outcome = reply.outcome;
  if (reply.outcome == core::Outcome::kDone) {
    record.position = reply.position;
    record.by_term = reply.by_term;
    record.decided = reply.decided;
    ++least_[record.row];
    take_session(reply);
    next();
  } else if (reply.outcome == core::Outcome::kUnknown) {
    resend_or_give_up(index);
  } else {
    next();
  }
}

void CallerNode::resend_or_give_up(std::size_t index) {
  const WriteRecord& record = history_.writes[index];
  if (record.key.empty() || record.sends >= kMaxSends) {
    next();
    return;
  }
  host_.after(kResendPause, [this, index] { send_write(index); });
}

// --- Reads -------------------------------------------------------------------------------------------------

void CallerNode::read() {
  ReadRecord record;
  record.caller = options_.name;
  record.group = options_.group;
  record.row = own_row();
  record.least = least_[record.row];
  CallerRequest request;
  request.group = options_.group;
  request.statement = {{"op", "get"}, {"table", "rows"}, {"id", record.row}};
  request.session = session_;
  history_.reads.push_back(record);
  send(request, [this, index = history_.reads.size() - 1](const auto& end) { after_read(index, end); });
}

void CallerNode::after_read(std::size_t index, const CallEnd<CallerReply>& end) {
  ReadRecord& record = history_.reads[index];
  if (!end.answer) {
    change_daemon();
  } else if (end.answer->error.kind == core::ErrorKind::kPositionLost &&
             end.answer->outcome != core::Outcome::kDone) {
    start_over();
  } else if (end.answer->outcome == core::Outcome::kDone) {
    const auto value = nlohmann::json::parse(end.answer->result);
    record.ended = fabric_.scheduler.now();
    record.value = value.is_number() ? value.get<std::int64_t>() : 0;
    record.by_replica = end.answer->by_replica;
    least_[record.row] = std::max(least_[record.row], record.value);
    take_session(*end.answer);
  }
  next();
}

void CallerNode::take_session(const CallerReply& reply) {
  session_ = reply.session;
}

/// The session's position did not survive: what it saw is void, and it goes on with a new row.
void CallerNode::start_over() {
  ++history_.positions_lost;
  session_.clear();
  ++row_;
}

}  // namespace pipitpond::simulation::group
