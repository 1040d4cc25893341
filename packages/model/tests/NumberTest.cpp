#include "hemlockproxy/model/Number.h"

#include <cstdint>
#include <string>

#include <CppUTest/TestHarness.h>

using hemlockproxy::model::ParseNumber;

TEST_GROUP(Number){};

// Guards against a header field that is taken for a number because it begins like one.
TEST(Number, TakesWholeNumbersInRangeAndNothingElse)
{
  CHECK_TRUE(ParseNumber<std::uint32_t>(std::string("17")) == 17U);
  CHECK_TRUE(ParseNumber<std::int64_t>(std::string("-5")) == -5);
  for (const std::string text : { "", " 1", "1 ", "1x", "+1", "-1", "1.5", "4294967296" }) {
    CHECK_FALSE(ParseNumber<std::uint32_t>(text).has_value());
  }
}
