#include "hemlockproxy/decisions/EqualShares.h"

#include <chrono>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using decisions::EqualShares;
using std::chrono::milliseconds;

/// A hundred daemons and one customer.
TEST_GROUP(EqualShares)
{
  static constexpr std::size_t kDaemons = 100;
  const model::CustomerName name_{ "mill" };
  model::TimePoint now_{ std::chrono::hours(1) };

  model::CustomerListPtr Customers(double aRate, double aBurst)
  {
    model::Customer customer;
    customer.name_ = name_;
    customer.ratePerSecond_ = aRate;
    customer.burst_ = aBurst;
    return model::MakeCustomerList({ customer });
  }
  std::vector<EqualShares> Daemons(double aRate, double aBurst)
  {
    std::vector<EqualShares> daemons(kDaemons);
    for (EqualShares& one : daemons) {
      one.Configure(Customers(aRate, aBurst), kDaemons);
    }
    return daemons;
  }
  /// Each daemon is asked for one request every 10 ms; returns what is admitted in the time.
  int Flood(std::vector<EqualShares> & aDaemons, milliseconds aTime)
  {
    constexpr milliseconds kStep{ 10 };
    int admitted = 0;
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      now_ += kStep;
      for (EqualShares& one : aDaemons) {
        admitted += one.Take(now_, name_) ? 1 : 0;
      }
    }
    return admitted;
  }
};

// Guards against a large customer that sends many times its allowance and gets more than the bound
// of a window of 5 s: 5 x 600 + 600, a tenth more, and 20.
TEST(EqualShares, AFloodStaysWithinTheBoundOfAWindow)
{
  auto daemons = Daemons(600, 600);
  const int admitted = Flood(daemons, std::chrono::seconds(5));
  CHECK_TRUE(admitted <= 3980);
  // The customer gets what it may send.
  CHECK_TRUE(admitted >= 3600);
  CHECK_TRUE(daemons.front().Wait(now_, name_) <= milliseconds(200));
}

// Guards against shares that grow at both sides of a partition.
TEST(EqualShares, FewerKnownDaemonsRaiseNoShare)
{
  auto daemons = Daemons(600, 600);
  (void)Flood(daemons, std::chrono::seconds(5));
  for (EqualShares& one : daemons) {
    one.Configure(Customers(600, 600), kDaemons / 2);
  }
  CHECK_TRUE(Flood(daemons, std::chrono::seconds(5)) <= 3980);
}

// Guards against an allowance that is lowered and still admits the old one a window later.
TEST(EqualShares, ALoweredAllowanceHoldsAWindowLater)
{
  auto daemons = Daemons(600, 600);
  for (EqualShares& one : daemons) {
    one.Configure(Customers(100, 0), kDaemons);
  }
  (void)Flood(daemons, std::chrono::seconds(5));
  CHECK_TRUE(Flood(daemons, std::chrono::seconds(5)) <= 570);
}

// Guards against a customer without an allowance that is limited.
TEST(EqualShares, WithoutAnAllowanceAllIsAdmitted)
{
  EqualShares one;
  one.Configure(Customers(0, 0), kDaemons);
  for (int i = 0; i < 1000; ++i) {
    CHECK_TRUE(one.Take(now_, name_));
  }
}
