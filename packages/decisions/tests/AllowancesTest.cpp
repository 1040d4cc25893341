#include "AllowanceWorld.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using std::chrono::seconds;
using test::AllowanceWorld;

namespace {

model::Customer MakeCustomer(const char* aName, double aRate, double aBurst)
{
  model::Customer customer;
  customer.name_ = model::CustomerName(aName);
  customer.ratePerSecond_ = aRate;
  customer.burst_ = aBurst;
  return customer;
}

double Served(const AllowanceWorld& aWorld, std::size_t aCustomer)
{
  return static_cast<double>(aWorld.Of(aCustomer).admitted_) /
         static_cast<double>(aWorld.Of(aCustomer).asked_);
}

constexpr std::size_t kDomains = 3;
constexpr std::size_t kDaemons = 77;

} // namespace

TEST_GROUP(Allowances){};

// Guards against shares of a small customer that are too small at each daemon to admit anything.
TEST(Allowances, ServeTwoRequestsPerSecondOver77Daemons)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("small", 2, 4) });
  world.Run(seconds(10));
  world.Load(0, 1.8, 0, kDaemons - 1);
  world.Run(seconds(120));
  CHECK(Served(world, 0) >= 0.9);
  STRCMP_EQUAL("", world.Violation().c_str());
}

// Guards against daemons that make their shares over twice when they take one lender and then
// another one for theirs. Fails without the fence: the first lender still has the shares.
TEST(Allowances, AreMadeOverToOneLenderAtATime)
{
  AllowanceWorld world(2, 6, { MakeCustomer("large", 300, 0) });
  world.Load(0, 900, 0, 5);
  world.Run(seconds(10));
  for (int i = 0; i < 4; ++i) {
    for (auto& node : world.All()) {
      node.domainLender_ = node.domainLender_ % 2 + 2;
      node.rootLender_ = 3;
    }
    world.Run(std::chrono::milliseconds(1500));
    for (const std::size_t first : { 0, 1 }) {
      world.All()[first].domainLender_ = first;
    }
    world.All()[0].rootLender_ = 0;
    world.Run(std::chrono::milliseconds(1500));
    STRCMP_EQUAL("", world.Violation().c_str());
  }
}

// Guards against refusals below the allowance when the demand is as even as it gets.
TEST(Allowances, ServeALargeCustomerAtItsRate)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("large", 400, 100) });
  world.Run(seconds(10));
  world.Load(0, 390, 0, kDaemons - 1);
  world.Run(seconds(30));
  CHECK(Served(world, 0) >= 0.97);
  STRCMP_EQUAL("", world.Violation().c_str());
}

// Guards against equal shares: all requests arrive in one failure domain, at a few daemons.
TEST(Allowances, FollowDemandToOneFailureDomain)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("one-sided", 100, 50) });
  world.Run(seconds(10));
  world.Load(0, 60, 3, 3);
  world.Run(seconds(5));
  world.ClearResults();
  world.Run(seconds(20));
  CHECK(Served(world, 0) >= 0.95);
  STRCMP_EQUAL("", world.Violation().c_str());
}

// Guards against admissions over the bound, and against an allowance that is not used up, under
// several times the allowance.
TEST(Allowances, HoldTheBoundUnderSevenTimesTheRate)
{
  AllowanceWorld world(
    kDomains, kDaemons, { MakeCustomer("large", 100, 20), MakeCustomer("small", 2, 4) });
  world.Run(seconds(10));
  world.Load(0, 750, 0, kDaemons - 1);
  world.Load(1, 15, 0, kDaemons - 1);
  world.Run(seconds(30));
  STRCMP_EQUAL("", world.Violation().c_str());
  CHECK(world.Of(0).admitted_ >= 30 * 100 * 0.9);
  CHECK(world.Of(1).admitted_ >= 30 * 2 * 0.9);
}

// Guards against daemons that refuse everything, or use too much, just after they all started.
TEST(Allowances, ServePartOfTheLoadFromTheStart)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("large", 400, 100) });
  world.Load(0, 400, 0, kDaemons - 1);
  world.Run(seconds(10));
  CHECK(Served(world, 0) >= 0.3);
  STRCMP_EQUAL("", world.Violation().c_str());
}

// Guards against a failure domain that stops serving its customers when it is cut off, and against
// both sides of a cut lending the whole allowance.
TEST(Allowances, KeepAShareInAFailureDomainThatIsCutOff)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("large", 300, 100) });
  world.Load(0, 600, 0, kDaemons - 1);
  world.Run(seconds(10));
  for (std::size_t i = 0; i < kDaemons; i += kDomains) {
    world.side_[i] = 1;
  }
  world.Run(seconds(10));
  world.ClearResults();
  world.Load(0, 120, 0, 0);
  world.Run(seconds(10));
  // A third of the allowance is made over by the daemons of this domain.
  CHECK(world.Of(0).admitted_ >= 10 * 100 * 0.8);
  STRCMP_EQUAL("", world.Violation().c_str());
}

// Guards against a lost lender that stops its borrowers for good.
TEST(Allowances, GoOnWithAnotherLender)
{
  AllowanceWorld world(kDomains, kDaemons, { MakeCustomer("large", 300, 100) });
  world.Load(0, 280, 0, kDaemons - 1);
  world.Run(seconds(10));
  world.All()[0].frozen_ = true;
  for (auto& node : world.All()) {
    node.rootLender_ = 1;
    node.domainLender_ = node.domainLender_ == 0 ? 3 : node.domainLender_;
  }
  world.Run(seconds(8));
  world.ClearResults();
  world.Run(seconds(10));
  CHECK(Served(world, 0) >= 0.93);
  STRCMP_EQUAL("", world.Violation().c_str());
}
