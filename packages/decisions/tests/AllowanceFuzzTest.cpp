#include <algorithm>
#include <iostream>
#include <string>

#include "AllowanceWorld.h"

#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using test::AllowanceWorld;

namespace {

constexpr std::size_t kDomains = 2;
constexpr std::size_t kDaemons = 6;

/// The oracle needs no model of the protocol: the world counts the admissions.
struct NoModel
{};

using Command = rc::state::Command<NoModel, AllowanceWorld>;

std::size_t Pick(std::size_t aBound)
{
  return *rc::gen::inRange<std::size_t>(0, aBound);
}

template <typename Effect>
struct WorldCommand : Command
{
  void run(const NoModel&, AllowanceWorld& aWorld) const override
  {
    effect_.Apply(aWorld);
    RC_ASSERT(aWorld.Violation() == std::string());
  }
  void show(std::ostream& aOut) const override { effect_.Show(aOut); }

  Effect effect_;
};

struct Pass
{
  void Apply(AllowanceWorld& aWorld) const
  {
    aWorld.Seed(seed_);
    aWorld.Run(time_);
  }
  void Show(std::ostream& aOut) const { aOut << "Pass ms " << time_.count() << " seed " << seed_; }
  std::uint64_t seed_ = *rc::gen::arbitrary<std::uint64_t>();
  std::chrono::milliseconds time_{ Pick(2500) };
};

/// Moves the demand of a customer to some daemons.
struct Demand
{
  void Apply(AllowanceWorld& aWorld) const
  {
    aWorld.Load(customer_, perSecond_, first_, std::max(first_, last_));
  }
  void Show(std::ostream& aOut) const
  {
    aOut << "Demand customer " << customer_ << " rate " << perSecond_ << " at " << first_ << " to "
         << std::max(first_, last_);
  }
  std::size_t customer_ = Pick(3);
  double perSecond_ = static_cast<double>((Pick(4) + 1) * 300);
  std::size_t first_ = Pick(kDaemons);
  std::size_t last_ = Pick(kDaemons);
};

struct Freeze
{
  void Apply(AllowanceWorld& aWorld) const { aWorld.All()[daemon_].frozen_ = on_; }
  void Show(std::ostream& aOut) const { aOut << "Freeze daemon " << daemon_ << " on " << on_; }
  std::size_t daemon_ = Pick(kDaemons);
  bool on_ = Pick(5) < 2;
};

struct Restart
{
  void Apply(AllowanceWorld& aWorld) const { aWorld.Restart(daemon_); }
  void Show(std::ostream& aOut) const { aOut << "Restart daemon " << daemon_; }
  std::size_t daemon_ = Pick(kDaemons);
};

struct Cut
{
  void Apply(AllowanceWorld& aWorld) const { aWorld.side_[daemon_] = on_ ? 1 : 0; }
  void Show(std::ostream& aOut) const { aOut << "Cut daemon " << daemon_ << " on " << on_; }
  std::size_t daemon_ = Pick(kDaemons);
  bool on_ = Pick(2) == 0;
};

struct Delay
{
  void Apply(AllowanceWorld& aWorld) const { aWorld.delay_ = delay_; }
  void Show(std::ostream& aOut) const { aOut << "Delay ms " << delay_.count(); }
  std::chrono::milliseconds delay_{ Pick(3) == 0 ? Pick(6000) : Pick(40) };
};

/// Divides the daemons of a failure domain, or all, between two lenders at a time.
struct Elect
{
  void Apply(AllowanceWorld& aWorld) const
  {
    for (std::size_t i = 0; i < kDaemons; ++i) {
      auto& node = aWorld.All()[i];
      const std::size_t lender = (mask_ >> i & 1) != 0 ? first_ : second_;
      if (root_) {
        node.rootLender_ = lender;
      } else if (i % kDomains == domain_) {
        node.domainLender_ = lender / kDomains * kDomains + domain_;
      }
    }
  }
  void Show(std::ostream& aOut) const
  {
    aOut << "Elect daemons " << mask_ << " of domain " << domain_ << " root " << root_
         << " lenders " << first_ << " and " << second_;
  }
  std::size_t mask_ = Pick(2) == 0 ? Pick(std::size_t{ 1 } << kDaemons) : 0;
  std::size_t first_ = Pick(kDaemons);
  std::size_t second_ = Pick(kDaemons);
  std::size_t domain_ = Pick(kDomains);
  bool root_ = Pick(3) == 0;
};

/// Ends all faults; one lender for each domain and one root lender.
struct Heal
{
  void Apply(AllowanceWorld& aWorld) const
  {
    aWorld.delay_ = std::chrono::milliseconds(4);
    for (std::size_t i = 0; i < kDaemons; ++i) {
      auto& node = aWorld.All()[i];
      node.frozen_ = false;
      node.domainLender_ = lender_ * kDomains + i % kDomains;
      node.rootLender_ = lender_;
      aWorld.side_[i] = 0;
    }
    aWorld.Run(time_);
  }
  void Show(std::ostream& aOut) const
  {
    aOut << "Heal lender " << lender_ << " ms " << time_.count();
  }
  std::size_t lender_ = Pick(kDaemons / kDomains);
  std::chrono::milliseconds time_{ Pick(9000) };
};

template <typename... Effects>
auto Commands()
{
  return rc::state::gen::execOneOfWithArgs<WorldCommand<Effects>...>();
}

std::vector<model::Customer> Customers()
{
  std::vector<model::Customer> customers(3);
  customers[0] = { model::CustomerName("large"), {}, std::nullopt, 300, 0 };
  customers[1] = { model::CustomerName("bursty"), {}, std::nullopt, 20, 200 };
  customers[2] = { model::CustomerName("small"), {}, std::nullopt, 2, 4 };
  return customers;
}

} // namespace

TEST_GROUP(AllowanceFuzz){};

// Guards against more admissions in a window than the bound allows, under cuts, late datagrams,
// freezes, restarts of lenders and borrowers, and several lenders at a time.
TEST(AllowanceFuzz, AdmitsNoMoreThanTheBoundInAnyWindow)
{
  rc::detail::TestParams params = rc::detail::configuration().testParams;
  params.maxSuccess = std::max(params.maxSuccess, 300);
  const auto property = [] {
    AllowanceWorld world(kDomains, kDaemons, Customers());
    // More than the allowance at all daemons, so that whatever is lent is used.
    world.Load(0, 900, 0, kDaemons - 1);
    world.Load(1, 100, 0, kDaemons - 1);
    world.Load(2, 20, 0, kDaemons - 1);
    world.Run(std::chrono::seconds(8));
    rc::state::check(NoModel{},
                     world,
                     Commands<Pass,
                              Pass,
                              Pass,
                              Pass,
                              Pass,
                              Demand,
                              Freeze,
                              Restart,
                              Cut,
                              Delay,
                              Elect,
                              Elect,
                              Heal,
                              Heal>());
  };
  const rc::detail::TestMetadata metadata{ "allowances", "the bound holds in every window" };
  const auto result = rc::detail::checkTestable(property, metadata, params);
  rc::detail::printResultMessage(result, std::cerr);
  CHECK_TRUE(result.is<rc::detail::SuccessResult>());
}
