#include "raft/message.hpp"

#include <utility>

namespace pipitpond::raft {
namespace {

template <std::size_t kPosition>
MessageBody unpack_alternative(const msgpack::object& object) {
  return object.as<std::variant_alternative_t<kPosition, MessageBody>>();
}

template <std::size_t... kPositions>
MessageBody unpack_body(std::uint32_t kind, const msgpack::object& object,
                        std::index_sequence<kPositions...> /*positions*/) {
  using Unpack = MessageBody (*)(const msgpack::object&);
  static constexpr Unpack kUnpackers[] = {&unpack_alternative<kPositions>...};
  if (kind >= sizeof...(kPositions)) throw msgpack::type_error();
  return kUnpackers[kind](object);
}

}  // namespace

void Message::msgpack_unpack(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY || object.via.array.size != kFieldCount) {
    throw msgpack::type_error();
  }
  const auto* fields = object.via.array.ptr;
  fields[0].convert(cluster);
  fields[1].convert(from);
  fields[2].convert(to);
  fields[3].convert(term);
  const auto kind = fields[4].as<std::uint32_t>();
  body = unpack_body(kind, fields[5], std::make_index_sequence<std::variant_size_v<MessageBody>>());
}

}  // namespace pipitpond::raft
