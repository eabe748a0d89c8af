// Session tokens: what a caller's session has seen of each database group. A proxy keeps no session state,
// so a caller may move to any other proxy of the fleet with its last token.
//
// Text form: base64url(msgpack body || first 16 bytes of HMAC-SHA256(fleet key, body)).
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"
#include "protocol/configuration.hpp"

namespace pipitpond::session {

/// Most groups that one session can touch. A 17th is refused before its statement is sent: forgetting a group
/// would let a later read go backward without anyone noticing.
inline constexpr std::size_t kMaxGroups = 16;
/// Longest group name that fits into a token.
inline constexpr std::size_t kMaxGroupNameBytes = 64;
/// Longest text that decode reads.
inline constexpr std::size_t kMaxTokenBytes = 4096;
/// Shortest fleet key.
inline constexpr std::size_t kMinFleetKeyBytes = 16;

/// Secret that all proxies of a fleet share; it authenticates tokens. A copy shares the state of the
/// original; neither is safe to use in two threads at once.
class FleetKey {
 public:
  /// Fails with kInvalidArgument for a secret shorter than kMinFleetKeyBytes.
  static core::Result<FleetKey> create(std::string secret);

  /// First 16 bytes of the body's HMAC-SHA256. Throws std::runtime_error when OpenSSL fails (out of memory).
  [[nodiscard]] std::string authenticate(std::string_view body) const;

  /// Text form of a token with this body. The last one is remembered: readers without a session all get the
  /// same.
  [[nodiscard]] std::string sign(std::string_view body) const;

 private:
  struct State;

  explicit FleetKey(std::shared_ptr<State> state) : state_(std::move(state)) {}

  std::shared_ptr<State> state_;
};

/// Whether a session's position is still part of the group's history.
enum class PositionCheck : std::uint8_t {
  kSurvived,  ///< Reads at or after it continue the session.
  kLost,      ///< It did not survive a change of primary, or is older than the history: report kPositionLost.
  kUnknown,   ///< The configuration at hand is too old to tell; fetch a newer one, then check again.
};

/// The positions of one session.
class SessionToken {
 public:
  /// Reads a token; "" is a new session. Fails with kForgedToken for whatever this fleet did not write.
  static core::Result<SessionToken> decode(std::string_view text, const FleetKey& key);

  /// Writes the token; "" when no group was touched.
  [[nodiscard]] std::string encode(const FleetKey& key) const;

  /// Position the session has seen of a group; (0, 0) when it has not touched it.
  [[nodiscard]] core::LogPosition position(const core::GroupName& group) const;

  /// Call before a statement is sent: fails with kTooLarge when the token has no room for the group, so that
  /// a result never has to be given without its position.
  [[nodiscard]] core::Result<void> ensure_room(const core::GroupName& group) const;

  /// Raises the group's position; a lower one changes nothing. Fails like ensure_room.
  core::Result<void> advance(const core::GroupName& group, const core::LogPosition& position);

  /// Drops a group, for a caller that was told kPositionLost and starts over on it.
  void forget(const core::GroupName& group);

  [[nodiscard]] const std::map<core::GroupName, core::LogPosition>& positions() const { return positions_; }

 private:
  std::map<core::GroupName, core::LogPosition> positions_;
  std::string text_;  ///< What decode read, as long as it says the same as `positions_`.
};

/// Whether a position survived the group's changes of primary.
PositionCheck check(const core::LogPosition& position, const protocol::Group& group);

/// The same after a database answered a read from `answered_at`. kUnknown when the answer is of a term that
/// the configuration does not know yet: the position may have been lost at that change, and the database
/// can't tell.
PositionCheck check_answer(const core::LogPosition& position, const core::LogPosition& answered_at,
                           const protocol::Group& group);

/// The error to answer for kLost: names the group and what the caller has to do.
core::Error position_lost(const core::GroupName& group, const core::LogPosition& position);

}  // namespace pipitpond::session
