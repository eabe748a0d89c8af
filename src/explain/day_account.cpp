#include "explain/day_account.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <optional>
#include <string_view>

namespace pipitpond::explain {
namespace {

/// Names of routes and tenants shown for a window.
constexpr std::size_t kNamesShown = 5;
constexpr double kPercent = 100.0;
const std::string kOtherNames = "(others)";

bool contains(std::string_view text, std::string_view part) {
  return text.find(part) != std::string_view::npos;
}

std::size_t place(LossCause cause) {
  return static_cast<std::size_t>(cause);
}

/// What a step shows; nothing where it shows no trouble.
std::optional<LossCause> shown_by(const LogRecord& record) {
  const std::string_view event = record.event();
  const std::string_view detail = record.get("detail");
  if (event == "waits" || event == "not_certain") {
    return LossCause::kPrimaryUnknown;
  }
  if (event == "not_run") {
    if (detail == "behind") {
      return LossCause::kReplicaBehind;
    }
    return detail == "read_only" ? LossCause::kPrimaryUnknown : LossCause::kNoRoom;
  }
  if (event == "no_connection") {
    return LossCause::kNoRoom;
  }
  if (event == "failed") {
    return LossCause::kDatabaseFailed;
  }
  if (event == "lost") {
    // An owner that had no connection free tells so; nothing was lost then.
    return contains(detail, "No_connection") ? LossCause::kNoRoom : LossCause::kAnswerLost;
  }
  return std::nullopt;
}

std::optional<LossCause> refused_for(std::string_view reason) {
  if (reason == "over_quota" || reason == "quota_not_told") {
    return LossCause::kQuota;
  }
  if (reason == "uncertain" || contains(reason, "not_certain")) {
    return LossCause::kKeyNotCertain;
  }
  return reason.empty() ? std::nullopt : std::optional(LossCause::kDenied);
}

/// What an outcome shows by itself, without any step.
std::optional<LossCause> shown_by_outcome(std::string_view outcome, std::string_view reason) {
  if (outcome == "late") {
    return LossCause::kSlowAnswer;
  }
  if (outcome == "over_quota") {
    return LossCause::kQuota;
  }
  if (outcome == "denied" || outcome == "unknown_database") {
    return LossCause::kDenied;
  }
  if (outcome == "failed") {
    return LossCause::kDatabaseFailed;
  }
  if (outcome == "unsure" || outcome == "timeout" || outcome == "aborted") {
    return LossCause::kAnswerLost;
  }
  if (contains(reason, "sure_of_the_keys")) {
    return LossCause::kKeyNotCertain;
  }
  if (contains(reason, "quota")) {
    return LossCause::kQuota;
  }
  if (contains(reason, "primary") || contains(reason, "no_database_can_serve")) {
    return LossCause::kPrimaryUnknown;
  }
  if (contains(reason, "reached")) {
    return LossCause::kAnswerLost;
  }
  return contains(reason, "o_connection") || contains(reason, "room") ? std::optional(LossCause::kNoRoom)
                                                                      : std::nullopt;
}

/// Of several the one that binds: what kept it from any database goes before what one database did.
constexpr std::array<LossCause, 6> kMostTellingFirst = {LossCause::kQuota,         LossCause::kKeyNotCertain,
                                                        LossCause::kNoRoom,        LossCause::kPrimaryUnknown,
                                                        LossCause::kReplicaBehind, LossCause::kAnswerLost};

void count(NameCounts& counts, std::string_view name) {
  if (name.empty() || name == "-") {
    return;
  }
  const std::string key(name);
  const bool full = counts.size() >= kMostNames && !counts.contains(key);
  ++counts[full ? kOtherNames : key];
}

std::string most_counted(const NameCounts& counts) {
  std::vector<std::pair<std::string, std::uint64_t>> sorted(counts.begin(), counts.end());
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const auto& left, const auto& right) { return left.second > right.second; });
  std::string text;
  for (std::size_t number = 0; number < std::min(sorted.size(), kNamesShown); ++number) {
    text += fmt::format(" {} {}", sorted[number].first, sorted[number].second);
  }
  return text;
}

std::string text_of(LogTime begin, const LossWindow& window) {
  const std::uint64_t total = window.total();
  std::string text = fmt::format("{}  lost {}", format_time(begin), total);
  text += window.started > 0 ? fmt::format(", {} processes started\n", window.started) : "\n";
  for (std::size_t cause = 0; cause < kLossCauses; ++cause) {
    if (window.lost.at(cause) > 0) {
      const double share = kPercent * static_cast<double>(window.lost.at(cause)) / static_cast<double>(total);
      text += fmt::format("  {:5.1f}%  {:>7}  {}\n", share, window.lost.at(cause),
                          to_string(static_cast<LossCause>(cause)));
    }
  }
  text += "  routes: " + most_counted(window.routes) + "\n";
  if (!window.tenants.empty()) {
    text += fmt::format("  tenants ({}): {}\n", window.tenants.size(), most_counted(window.tenants));
  }
  return text;
}

}  // namespace

const char* to_string(LossCause cause) {
  switch (cause) {
    case LossCause::kQuota:
      return "quota";
    case LossCause::kKeyNotCertain:
      return "key_not_certain";
    case LossCause::kDenied:
      return "denied";
    case LossCause::kNoRoom:
      return "no_room";
    case LossCause::kReplicaBehind:
      return "replica_behind";
    case LossCause::kPrimaryUnknown:
      return "primary_unknown";
    case LossCause::kAnswerLost:
      return "answer_lost";
    case LossCause::kDatabaseFailed:
      return "database_failed";
    case LossCause::kSlowAnswer:
      return "slow_answer";
    case LossCause::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::uint64_t LossWindow::total() const {
  return std::accumulate(lost.begin(), lost.end(), std::uint64_t{0});
}

void DayAccount::add(const LogRecord& record) {
  if (record.event() == "start") {
    ++window_of(record).started;
  } else if (record.part == "requests" && record.event() == "outcome") {
    add_outcome(record);
  } else if (record.part == "requests") {
    add_step(record);
  } else if (record.part == "access" && record.event() == "refused") {
    add_refusal(record);
  }
}

DayAccount::Key DayAccount::key_of(const LogRecord& record) {
  return record.process + " " + std::string(record.get("request"));
}

DayAccount::Followed& DayAccount::follow(const LogRecord& record) {
  Key key = key_of(record);
  const auto known = followed_.find(key);
  if (known != followed_.end()) {
    return known->second;
  }
  while (order_.size() >= kMostFollowed) {
    given_up_ += followed_.erase(order_.front());
    order_.pop_front();
  }
  order_.push_back(key);
  return followed_[std::move(key)];
}

void DayAccount::add_step(const LogRecord& record) {
  Followed& followed = follow(record);
  if (const auto cause = shown_by(record)) {
    followed.seen.at(place(*cause)) = true;
  }
}

void DayAccount::add_refusal(const LogRecord& record) {
  Followed& followed = follow(record);
  if (const auto cause = refused_for(record.get("reason"))) {
    followed.seen.at(place(*cause)) = true;
  }
  followed.tenant = record.get("tenant");
}

void DayAccount::add_outcome(const LogRecord& record) {
  Followed followed;
  if (const auto known = followed_.find(key_of(record)); known != followed_.end()) {
    followed = std::move(known->second);
    followed_.erase(known);
  }
  // A failure's own words say what it was given up for; a late answer's steps say what delayed it.
  const std::string_view outcome = record.get("outcome");
  auto cause = shown_by_outcome(outcome, record.get("reason"));
  if (!cause || cause == LossCause::kSlowAnswer) {
    const auto* seen = std::find_if(kMostTellingFirst.begin(), kMostTellingFirst.end(),
                                    [&](LossCause one) { return followed.seen.at(place(one)); });
    cause = seen != kMostTellingFirst.end() ? std::optional(*seen) : cause;
  }
  LossWindow& window = window_of(record);
  ++window.lost.at(place(cause.value_or(LossCause::kUnknown)));
  count(window.routes, record.get("route"));
  const std::string_view named = record.get("tenant");
  count(window.tenants, named.empty() ? std::string_view(followed.tenant) : named);
}

LossWindow& DayAccount::window_of(const LogRecord& record) {
  const auto since_epoch = record.time.time_since_epoch();
  return windows_[LogTime(since_epoch - since_epoch % kLossWindow)];
}

std::string to_text(const DayAccount& account, std::size_t most) {
  std::vector<std::pair<LogTime, const LossWindow*>> worst;
  std::uint64_t total = 0;
  std::uint64_t unknown = 0;
  for (const auto& [begin, window] : account.windows()) {
    worst.emplace_back(begin, &window);
    total += window.total();
    unknown += window.lost.at(place(LossCause::kUnknown));
  }
  std::stable_sort(worst.begin(), worst.end(), [](const auto& left, const auto& right) {
    return left.second->total() > right.second->total();
  });
  worst.resize(std::min(worst.size(), most));
  std::string text = fmt::format(
      "{} statements failed or came late, {} of them without a cause in the logs\n\n", total, unknown);
  for (const auto& [begin, window] : worst) {
    if (window->total() > 0) {
      text += text_of(begin, *window) + "\n";
    }
  }
  return text;
}

}  // namespace pipitpond::explain
