// Identifiers of open transactions. Opaque to callers; any daemon can read from one which daemon holds the
// transaction and in which group, so that any daemon can pass requests on. The authenticated random part
// makes them impossible to guess or to alter.
#pragma once

#include <cstdint>
#include <string>

#include "core/error.hpp"
#include "core/ids.hpp"
#include "core/log_position.hpp"

namespace pipitpond::proxy {

/// What a transaction identifier says.
struct TransactionAddress {
  core::DaemonId owner;           ///< Daemon that holds the database connection.
  std::uint64_t incarnation = 0;  ///< Its life; a restarted daemon has lost the transaction.
  core::GroupName group;
  core::DatabaseId database;
  core::Term term = 0;  ///< Term of the primary that it began on.
  std::string random;   ///< 128 random bits, hexadecimal.
};

/// Writes and authenticates an identifier.
core::TransactionId make_transaction_id(const TransactionAddress& address, const std::string& secret);

/// 128 bits from the system's random source, hexadecimal.
std::string random_hex();

/// Reads an identifier; kForgedToken when it was not written with this secret.
core::Result<TransactionAddress> read_transaction_id(const core::TransactionId& id,
                                                     const std::string& secret);

}  // namespace pipitpond::proxy
