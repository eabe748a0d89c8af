#include "platform_support/platform_caller.hpp"

#include "support/coroutine.hpp"

namespace pipitpond::platform {

using boost::asio::awaitable;

namespace {

constexpr core::Duration kAnswerTimeout = std::chrono::seconds(5);

}  // namespace

bool Caller::open(const std::string& database) {
  return pipitpond::testing::run(io_, open_session(database));
}

awaitable<bool> Caller::open_session(std::string database) {
  co_return co_await start_session(std::move(database), kAnswerTimeout) == kSessionOpened;
}

awaitable<std::string> Caller::start_session(std::string database, core::Duration limit) {
  auto stream = co_await net::LineStream::connect(io_, proxy_, limit);
  if (!stream) {
    co_return std::string();
  }
  lines_ = std::move(stream.value());
  lines_->set_deadline(limit);
  std::string start = "START " + database + " tester\r\n";
  (void)co_await lines_->write(std::move(start));
  const auto line = co_await lines_->read_line();
  lines_->clear_deadline();
  co_return line ? line.value() : std::string();
}

Answer Caller::query(const std::string& text) {
  return pipitpond::testing::run(io_, ask(text));
}

awaitable<Answer> Caller::ask(std::string text) {
  static int number = 0;
  Answer answer;
  lines_->set_deadline(kAnswerTimeout);
  last_request_ = "t" + std::to_string(++number);
  std::string line = "QUERY " + last_request_ + " " + text + "\r\n";
  (void)co_await lines_->write(std::move(line));
  while (true) {
    const auto got = co_await lines_->read_line();
    if (!got) {
      answer.connected = false;
      break;
    }
    const std::string& words = got.value();
    const auto blank = words.find(' ');
    const std::string rest = blank == std::string::npos ? "" : words.substr(blank + 1);
    if (words.starts_with("ROW ")) {
      answer.rows.push_back(rest);
    } else if (words.starts_with("DONE ")) {
      answer.done = rest;
    } else if (words.starts_with("ERR ")) {
      answer.error = rest;
    } else {
      answer.ready = rest;
      break;
    }
  }
  lines_->clear_deadline();
  co_return answer;
}

std::string Caller::send_raw(const std::string& bytes) {
  return pipitpond::testing::run(io_, exchange_raw(bytes));
}

awaitable<std::string> Caller::exchange_raw(std::string bytes) {
  auto stream = co_await net::LineStream::connect(io_, proxy_, kAnswerTimeout);
  if (!stream) {
    co_return std::string();
  }
  lines_ = std::move(stream.value());
  lines_->set_deadline(kAnswerTimeout);
  (void)co_await lines_->write(std::move(bytes));
  const auto line = co_await lines_->read_line();
  co_return line ? line.value() : std::string();
}

}  // namespace pipitpond::platform
