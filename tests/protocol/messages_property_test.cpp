// Bytes that another process sent are unpacked to a message or refused with a typed error; they never end
// this one.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "protocol/configuration.hpp"
#include "protocol/control_messages.hpp"
#include "protocol/forward.hpp"
#include "wire/codec.hpp"

namespace pipitpond::protocol {
namespace {

template <typename Message>
void unpack_any(const std::string& bytes) {
  const auto message = wire::unpack<Message>(bytes);
  if (message.has_value()) {
    RC_ASSERT(wire::unpack<Message>(wire::pack(message.value())).has_value());
  } else {
    RC_ASSERT(message.error().kind == core::ErrorKind::kInvalidArgument);
  }
}

/// All messages that daemons and control take from their internal ports.
void unpack_as_each(const std::string& bytes) {
  unpack_any<Heartbeat>(bytes);
  unpack_any<HeartbeatReply>(bytes);
  unpack_any<FetchRequest>(bytes);
  unpack_any<FetchPage>(bytes);
  unpack_any<FetchReply>(bytes);
  unpack_any<RevisionNotice>(bytes);
  unpack_any<OperatorRequest>(bytes);
  unpack_any<OperatorReply>(bytes);
  unpack_any<Departure>(bytes);
  unpack_any<ForwardRequest>(bytes);
  unpack_any<ForwardReply>(bytes);
  unpack_any<Configuration>(bytes);
}

RC_GTEST_PROP(MessagesProperty, RandomBytesAreRefusedOrRead, (const std::string& bytes)) {
  unpack_as_each(bytes);
}

RC_GTEST_PROP(MessagesProperty, OneWrongByteIsRefusedOrRead,
              (const std::string& text, std::uint64_t number)) {
  Heartbeat heartbeat;
  heartbeat.daemon = core::DaemonId(text);
  heartbeat.sequence = number;
  heartbeat.suspicions = {{core::DatabaseId(text), Suspicion::kLeaving, number, 7}};
  ForwardRequest forward;
  forward.statement = text;
  forward.term = number;
  Configuration configuration;
  configuration.groups[core::GroupName(text)].terms = {{number, core::DatabaseId(text), {number, number}}};
  for (std::string bytes : {wire::pack(heartbeat), wire::pack(forward), wire::pack(configuration)}) {
    const auto place = *rc::gen::inRange<std::size_t>(0, bytes.size());
    bytes[place] = *rc::gen::arbitrary<char>();
    unpack_as_each(bytes);
    unpack_as_each(bytes.substr(0, place));
  }
}

}  // namespace
}  // namespace pipitpond::protocol
