// Statements that the stand-in database understands, as JSON objects. Proxies pass them through unread.
//
//   {"op":"put","table":T,"id":I,"value":V}      write; result null
//   {"op":"add","table":T,"id":I,"amount":N}     write that must not run twice; result: the new sum
//   {"op":"get","table":T,"id":I}                read; result: value or null
//   {"op":"list","table":T,"limit":N}            read; result: array of {"id","value"}
//   {"op":"blob","bytes":N,"seed":S}             read; result: text of N bytes, repeating "S:"
//   {"op":"sleep","ms":N}                        read; occupies a slot for N ms; result null
//
// Any statement may carry "work_ms": how long it occupies its slot (default: the database's setting).
#pragma once

#include <cstdint>

namespace pipitpond::database {

/// Request keys have the form "<unix milliseconds>-<text>", so that a database can tell a key that it has
/// forgotten from one that it never saw. Keys older than this are refused with "key_expired".
inline constexpr std::int64_t kDefaultKeyRetentionMs = 15L * 60 * 1000;
/// Keys may lie this far in the future of the database's clock.
inline constexpr std::int64_t kKeyClockSkewMs = 60L * 1000;

}  // namespace pipitpond::database
