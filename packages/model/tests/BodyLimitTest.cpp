#include "hemlockproxy/model/Config.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::model;

namespace {

constexpr std::uint64_t kMegabyte = 1024ULL * 1024;

CallerLimits Operator(std::uint64_t aBodyBytes)
{
  CallerLimits limits;
  limits.bodyBytes_ = aBodyBytes;
  return limits;
}

} // namespace

TEST_GROUP(BodyLimit){};

// Guards against bodies that the operator allows and the services' default rejects for good.
TEST(BodyLimit, IsTheOperatorsWhereTheServiceStatesNone)
{
  LONGS_EQUAL(64 * kMegabyte, BodyLimit({}, Operator(64 * kMegabyte)));
  LONGS_EQUAL(kMegabyte, BodyLimit({}, Operator(kMegabyte)));
}

// Guards against a service that gets bodies which it says that it does not take.
TEST(BodyLimit, IsTheLesserWhereBothAreStated)
{
  const LimitSet limits{ { LimitKind::BodyBytes, 2 * kMegabyte } };
  LONGS_EQUAL(2 * kMegabyte, BodyLimit(limits, Operator(64 * kMegabyte)));
  LONGS_EQUAL(kMegabyte, BodyLimit(limits, Operator(kMegabyte)));
}

// Guards against a 0 that rejects each body, or takes the bound away.
TEST(BodyLimit, ZeroLeavesTheServicesLimitOrItsDefault)
{
  const LimitSet limits{ { LimitKind::BodyBytes, 2 * kMegabyte } };
  LONGS_EQUAL(2 * kMegabyte, BodyLimit(limits, Operator(0)));
  LONGS_EQUAL(EffectiveLimit({}, LimitKind::BodyBytes), BodyLimit({}, Operator(0)));
}
