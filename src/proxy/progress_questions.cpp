#include "proxy/progress_questions.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace pipitpond::proxy {

void ProgressQuestions::ask_about(const routing::GroupView& view, core::Instant now) {
  for (const routing::ReplicaView& database : view.databases) {
    core::Instant& asked_at = asked_at_[database.database];
    if (now - database.seen_at < kProgressAge || now - asked_at < kProgressAge) {
      continue;
    }
    asked_at = now;
    protocol::ForwardRequest question;
    question.request = core::RequestId("progress");
    question.operation = protocol::Operation::kProgress;
    question.group = view.group;
    question.database = database.database;
    boost::asio::co_spawn(io_, ask(dispatcher_, std::move(question)), boost::asio::detached);
  }
}

boost::asio::awaitable<void> ProgressQuestions::ask(Dispatcher& dispatcher,
                                                    protocol::ForwardRequest question) {
  // The dispatcher hands the answer to the views.
  const core::Instant deadline = core::BootClock::now() + kProgressAge;
  co_await dispatcher.attempt(std::move(question), deadline);
}

}  // namespace pipitpond::proxy
