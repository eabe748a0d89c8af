#include "proxy/caller_transactions.hpp"

#include <gtest/gtest.h>

#include <string>

namespace pipitpond::proxy {
namespace {

using std::chrono::seconds;

const core::TransactionId kTransaction("a");
const core::Instant kStart{seconds(100)};

TEST(CallerTransactions, ATransactionCountsWhileItIsUsedAndUntilItEnds) {
  CallerTransactions transactions;
  transactions.begin(kTransaction, kStart);
  EXPECT_EQ(transactions.used_since(kStart), 1U);
  EXPECT_EQ(transactions.used_since(kStart + seconds(1)), 0U);
  transactions.use(kTransaction, kStart + seconds(2));
  EXPECT_EQ(transactions.used_since(kStart + seconds(1)), 1U);
  transactions.end(kTransaction);
  EXPECT_EQ(transactions.used_since(kStart), 0U);
}

TEST(CallerTransactions, ThoseOfOtherDaemonsAndForgottenOnesDoNotCount) {
  CallerTransactions transactions;
  transactions.use(core::TransactionId("of another daemon"), kStart);
  EXPECT_EQ(transactions.used_since(kStart), 0U);
  transactions.begin(kTransaction, kStart);
  transactions.forget_unused(kStart + seconds(1));
  transactions.use(kTransaction, kStart + seconds(2));
  EXPECT_EQ(transactions.used_since(kStart), 0U);
}

TEST(CallerTransactions, NoMoreAreFollowedThanTheLimit) {
  CallerTransactions transactions;
  for (std::size_t number = 0; number <= kMaxFollowedTransactions; ++number) {
    transactions.begin(core::TransactionId(std::to_string(number)), kStart);
  }
  EXPECT_EQ(transactions.used_since(kStart), kMaxFollowedTransactions);
}

}  // namespace
}  // namespace pipitpond::proxy
