#include "wire/compact.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>
#include <vector>

namespace pipitpond::wire {
namespace {

using Names = std::vector<std::string>;

Names many_names() {
  Names names;
  for (int number = 0; number < 300; ++number) {
    names.push_back("front-hall-a-" + std::to_string(number) + " 10.128.0.9:7441 kingston");
  }
  return names;
}

TEST(CompactTest, LongMessagesOfManyAlikeAreAFractionOfTheirSize) {
  const std::string packed = pack_compact(many_names());
  EXPECT_LT(packed.size() * 3, pack(many_names()).size());
  EXPECT_EQ(unpack_compact<Names>(packed).value(), many_names());
}

TEST(CompactTest, ShortMessagesStayAsTheyAre) {
  const Names few{"a", "b"};
  EXPECT_EQ(compact(pack(few)).plain_size, 0U);
  EXPECT_EQ(unpack_compact<Names>(pack_compact(few)).value(), few);
}

TEST(CompactTest, AClaimOfTooManyBytesIsRefusedBeforeTheyAreReserved) {
  CompactBytes claim = compact(pack(many_names()));
  ASSERT_GT(claim.plain_size, 0U);
  claim.plain_size = kMaxCompactBytes + 1;
  EXPECT_FALSE(unpack_compact<Names>(pack(claim)));
}

TEST(CompactTest, AWrongSizeIsRefused) {
  CompactBytes claim = compact(pack(many_names()));
  ++claim.plain_size;
  EXPECT_FALSE(unpack_compact<Names>(pack(claim)));
  claim.plain_size -= 2;
  EXPECT_FALSE(unpack_compact<Names>(pack(claim)));
}

RC_GTEST_PROP(CompactProperty, DamagedBytesNeverPassAsAnotherMessage, ()) {
  CompactBytes damaged = compact(pack(many_names()));
  const auto place = *rc::gen::inRange<std::size_t>(0, damaged.bytes.size());
  damaged.bytes[place] = static_cast<char>(damaged.bytes[place] ^ *rc::gen::inRange(1, 256));
  const auto read = unpack_compact<Names>(pack(damaged));
  const bool passes_as_another = read && read.value() != many_names();
  RC_ASSERT(!passes_as_another);
}

}  // namespace
}  // namespace pipitpond::wire
