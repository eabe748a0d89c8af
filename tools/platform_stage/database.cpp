#include "platform_stage/database.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sstream>

#include "pooling/waiting.hpp"

namespace pipitpond::platform_stage {

namespace asio = boost::asio;
using asio::awaitable;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

std::vector<std::string> words_of(const std::string& text) {
  std::istringstream stream(text);
  std::vector<std::string> words;
  std::string word;
  while (stream >> word) {
    words.push_back(word);
  }
  return words;
}

std::string text_of(const core::LogPosition& position) {
  return std::to_string(position.term) + "." + std::to_string(position.index);
}

core::LogPosition position_of(const std::string& text) {
  const auto dot = text.find('.');
  return {std::stoull(text.substr(0, dot)), std::stoull(text.substr(dot + 1))};
}

std::uint64_t unix_milliseconds() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

}  // namespace

/// One connection.
struct Database::Session {
  explicit Session(tcp::socket socket) : lines(std::move(socket)) {}

  struct Shape {
    bool writes = false;
  };

  net::LineStream lines;
  std::map<std::string, std::string> values;
  std::map<std::string, Shape> prepared;
  bool in_transaction = false;
  bool read_only = false;
  bool failed = false;
  std::vector<Write> writes;
};

Database::Database(asio::io_context& io, DatabaseOptions options, Replication& replication)
    : io_(io), options_(std::move(options)), replication_(replication) {}

Database::~Database() {
  crash();
}

void Database::start() {
  running_ = true;
  ++life_;
  born_ = std::max(born_ + 1, unix_milliseconds());
  if (!acceptor_) {
    take_port();
  }
  acceptor_->listen();
  asio::co_spawn(io_, accept(life_), asio::detached);
}

/// Without listening: connections are refused, and no other process can take the port.
void Database::take_port() {
  acceptor_ = std::make_unique<tcp::acceptor>(io_);
  const tcp::endpoint place(asio::ip::make_address("127.0.0.1"), options_.port);
  acceptor_->open(place.protocol());
  acceptor_->set_option(tcp::acceptor::reuse_address(true));
  acceptor_->bind(place);
  options_.port = acceptor_->local_endpoint().port();
}

void Database::crash() {
  running_ = false;
  ++life_;
  if (acceptor_) {
    error_code ignored;
    acceptor_->close(ignored);
    take_port();
  }
  for (const auto& session : sessions_) {
    session->lines.close();
  }
  held_term_ = 0;
}

void Database::restart() {
  primary_ = false;
  start();
}

void Database::restart_empty() {
  log_.clear();
  term_ = 1;
  restart();
}

void Database::set_dark(bool dark) {
  dark_ = dark;
}

void Database::set_cut_off(bool cut_off) {
  cut_off_ = cut_off;
}

void Database::become_primary(core::Term term) {
  primary_ = true;
  term_ = term;
  held_term_ = 0;
}

void Database::follow(core::Term term) {
  primary_ = false;
  term_ = term;
  held_term_ = 0;
}

awaitable<void> Database::accept(std::uint64_t life) {
  while (life == life_) {
    error_code error;
    tcp::socket socket = co_await acceptor_->async_accept(asio::redirect_error(asio::use_awaitable, error));
    if (!error && life == life_) {
      asio::co_spawn(io_, serve(std::make_shared<Session>(std::move(socket))), asio::detached);
    }
  }
}

awaitable<void> Database::serve(std::shared_ptr<Session> session) {
  sessions_.insert(session);
  bool goes_on = co_await open(*session);
  while (goes_on) {
    const auto line = co_await session->lines.read_line();
    if (!line || !running_) {
      break;
    }
    std::string text = line.value();
    if (!text.starts_with("QUERY ")) {
      break;
    }
    text.erase(0, std::string("QUERY ").size());
    const auto blank = text.find(' ');
    std::string id = text.substr(0, blank);
    text.erase(0, blank + 1);
    std::string answer = co_await run(*session, std::move(id), std::move(text));
    while (dark_) {
      co_await pooling::pause_for(io_, std::chrono::milliseconds(10));
    }
    if (answer.empty()) {
      break;
    }
    goes_on = (co_await session->lines.write(std::move(answer))).has_value();
  }
  session->lines.close();
  sessions_.erase(session);
}

awaitable<bool> Database::open(Session& session) {
  const auto line = co_await session.lines.read_line();
  while (dark_) {
    co_await pooling::pause_for(io_, std::chrono::milliseconds(10));
  }
  const auto words = line ? words_of(line.value()) : std::vector<std::string>();
  if (words.size() < 3 || words[0] != "START") {
    co_return false;
  }
  const bool other = words[1] != options_.service || (words.size() > 3 && words[3] != options_.id);
  if (other || sessions_.size() > options_.max_connections) {
    std::string refusal =
        std::string("ERR ") + (other ? "MISROUTED" : "TOOMANY") + " " + options_.id + "\r\n";
    (void)co_await session.lines.write(std::move(refusal));
    co_return false;
  }
  std::string greeting = ready(session);
  co_return (co_await session.lines.write(std::move(greeting))).has_value();
}

std::string Database::ready(const Session& session) const {
  const char* state = !session.in_transaction ? "I" : session.failed ? "E" : "T";
  return std::string("READY ") + state + " " + text_of(end_of(log_)) + "\r\n";
}

std::string Database::done(const std::string& id) {
  return "DONE " + options_.id + "." + id + "." + std::to_string(++signatures_) + "\r\n";
}

std::string Database::failed(const std::string& code, const std::string& text, const Session& session) const {
  return "ERR " + code + " " + text + "\r\n" + ready(session);
}

void Database::note(const Session& session, const std::string& id, const std::string& text) {
  executed_.push_back(Executed{id, text, session.values, end_of(log_)});
}

std::string Database::status_row() const {
  return std::string("ROW ") + (primary_ ? "primary" : "replica") + " " + std::to_string(term_) + " " +
         text_of(end_of(log_)) + " " + std::to_string(held_term_) + " 0 0 " +
         std::to_string(sessions_.size()) + "\r\nDONE -\r\n";
}

/// STATUS, HOLD, DEMOTE, RESUME, and what only touches the session. Empty when the text is none of these.
std::string Database::run_own(Session& session, const std::string& text) {
  const auto words = words_of(text);
  if (words.empty()) {
    return failed("BAD", "empty", session);
  }
  const std::string& word = words[0];
  if (word == "STATUS") {
    return status_row() + ready(session);
  }
  if (word == "HOLD" || word == "DEMOTE") {
    const core::Term term = std::stoull(words.at(1));
    if (term <= std::max(term_, held_term_)) {
      return failed("BAD", "the term is not new", session);
    }
    if (word == "HOLD") {
      held_term_ = term;
    } else {
      primary_ = false;  // It may receive from now on: the pages don't say that it is held.
    }
    return status_row() + ready(session);
  }
  if (word == "RESUME") {
    held_term_ = 0;
    return status_row() + ready(session);
  }
  if (word == "RESET") {
    session.values.clear();
    session.prepared.clear();
  } else if (word == "SET") {
    session.values[words.at(1)] = words.at(2);
  } else if (word == "PREPARE") {
    session.prepared[words.at(1)] = Session::Shape{words.at(2) == "WRITE"};
  } else if (word == "FORGET") {
    session.prepared.erase(words.at(1));
  } else {
    return {};
  }
  return "DONE -\r\n" + ready(session);
}

awaitable<std::string> Database::run(Session& session, std::string id, std::string text) {
  std::string own = run_own(session, text);
  if (!own.empty()) {
    co_return own;
  }
  if (text.starts_with("AFTER ")) {
    const auto words = words_of(text);
    if (end_of(log_) < position_of(words.at(1))) {
      co_return failed("BEHIND", options_.id, session);
    }
    text.erase(0, std::string("AFTER ").size() + words.at(1).size() + 1);
  }
  co_await pooling::pause_for(io_, options_.work);
  std::string answer = co_await run_statement(session, std::move(id), std::move(text));
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    co_return std::string();
  }
  co_return answer;
}

awaitable<std::string> Database::run_statement(Session& session, std::string id, std::string text) {
  auto words = words_of(text);
  if (statements_to_fail_ > 0) {
    --statements_to_fail_;
    session.failed = session.in_transaction;
    co_return failed("FAILED", "told to", session);
  }
  if (words[0] == "EXEC") {
    const auto shape = session.prepared.find(words.at(1));
    if (shape == session.prepared.end()) {
      co_return failed("NOSTMT", words.at(1), session);
    }
    words.erase(words.begin());
    words[0] = shape->second.writes ? "WRITE" : "READ";
  }
  const bool may_write = words[0] == "WRITE" || (words[0] == "BEGIN" && words.size() == 1);
  const bool lost_lead = session.in_transaction && !session.read_only;
  if (!primary_ && (may_write || lost_lead) && words[0] != "ROLLBACK") {
    session.failed = session.in_transaction;
    co_return failed("READONLY", options_.id, session);
  }
  if (words[0] == "BEGIN") {
    session.in_transaction = true;
    session.read_only = words.size() > 1;
    co_return "DONE -\r\n" + ready(session);
  }
  if (words[0] == "ROLLBACK") {
    session.in_transaction = false;
    session.failed = false;
    session.writes.clear();
    co_return "DONE -\r\n" + ready(session);
  }
  if (words[0] == "COMMIT") {
    session.in_transaction = false;
    auto writes = std::move(session.writes);
    session.writes.clear();
    if (writes.empty()) {
      co_return done(id) + ready(session);
    }
    co_return co_await commit(session, std::move(id), std::move(writes));
  }
  note(session, id, text);
  if (words[0] == "READ") {
    const auto values = values_of(log_);
    const auto found = values.find(words.at(1));
    const std::string row = "ROW " + (found == values.end() ? std::string("none") : found->second) + "\r\n";
    co_return row + done(id) + ready(session);
  }
  Write write{words.at(1), words.size() > 2 ? words.at(2) : "", id};
  if (session.in_transaction) {
    session.writes.push_back(std::move(write));
    co_return done(id) + ready(session);
  }
  std::vector<Write> writes;
  writes.push_back(std::move(write));
  co_return co_await commit(session, std::move(id), std::move(writes));
}

awaitable<std::string> Database::commit(Session& session, std::string id, std::vector<Write> writes) {
  const std::uint64_t index = end_of(log_).index + 1;
  log_.push_back(Commit{core::LogPosition{term_, index}, std::move(writes)});
  const auto received = std::make_shared<bool>(false);
  replication_.replicate(options_.id, [received] { *received = true; });
  const std::uint64_t life = life_;
  while (!*received && life == life_ && primary_) {
    co_await pooling::pause_for(io_, std::chrono::milliseconds(1));
  }
  if (!*received) {
    co_return std::string();
  }
  co_return done(id) + ready(session);
}

}  // namespace pipitpond::platform_stage
