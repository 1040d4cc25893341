#include "hemlockproxy/decisions/CustomerIndex.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using decisions::CustomerIndex;

namespace {

model::Customer MakeCustomer(const char* aName, const std::vector<const char*>& aKeys)
{
  model::Customer customer;
  customer.name_ = model::CustomerName(aName);
  for (const char* key : aKeys) {
    customer.keys_.push_back(model::HashKey(key));
  }
  return customer;
}

} // namespace

TEST_GROUP(CustomerIndex){};

// Guards against a request that is taken for another customer's.
TEST(CustomerIndex, FindsTheCustomerOfEachKey)
{
  const CustomerIndex index(model::MakeCustomerList(
    { MakeCustomer("mill", { "first", "second" }), MakeCustomer("clinic", { "third" }) }));
  CHECK_TRUE(index.NeedsKeys());
  STRCMP_EQUAL("mill", index.Find(model::HashKey("first"))->name_.Value().c_str());
  STRCMP_EQUAL("mill", index.Find(model::HashKey("second"))->name_.Value().c_str());
  STRCMP_EQUAL("clinic", index.Find(model::HashKey("third"))->name_.Value().c_str());
  POINTERS_EQUAL(nullptr, index.Find(model::HashKey("fourth")));
  POINTERS_EQUAL(nullptr, index.Find(model::HashKey("")));
}

// Guards against a configuration whose last customer was removed and that then lets everybody in.
TEST(CustomerIndex, AnEmptyListStillAsksForKeys)
{
  CHECK_TRUE(CustomerIndex(model::MakeCustomerList({})).NeedsKeys());
  CHECK_FALSE(CustomerIndex(nullptr).NeedsKeys());
}

// Guards against a change of a customer that other daemons do not fetch.
TEST(CustomerIndex, EachFieldChangesTheDigest)
{
  const model::Customer customer = MakeCustomer("mill", { "first" });
  const auto digestOf = [](const model::Customer& aCustomer) {
    return model::MakeCustomerList({ aCustomer })->digest_;
  };
  const model::Digest before = digestOf(customer);
  auto changed = customer;
  changed.keys_.push_back(model::HashKey("second"));
  CHECK_TRUE(digestOf(changed) != before);
  changed = customer;
  changed.priority_ = 0;
  CHECK_TRUE(digestOf(changed) != before);
  changed = customer;
  changed.ratePerSecond_ = 0.5;
  CHECK_TRUE(digestOf(changed) != before);
  changed = customer;
  changed.burst_ = 1;
  CHECK_TRUE(digestOf(changed) != before);
  CHECK_TRUE(digestOf(customer) == before);
}
