#include "hemlockproxy/decisions/DepartureBook.h"

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy;
using namespace hemlockproxy::decisions;
using std::chrono::milliseconds;

namespace {

model::TimePoint At(int aSeconds)
{
  return model::TimePoint() + std::chrono::hours(1) + std::chrono::seconds(aSeconds);
}

DepartureReport Left(int aNumber, int aOwner = 1)
{
  return {
    model::DaemonId("owner-" + std::to_string(aOwner)),
    { { model::BackendId("i-" + std::to_string(aNumber)), std::nullopt, milliseconds(500) } }
  };
}

} // namespace

TEST_GROUP(DepartureBook)
{
  DepartureBook book_;
};

// Guards against a daemon that asks after its restart and is not told, or is told of others.
TEST(DepartureBook, TellsADaemonWhatLeftItWithTheAge)
{
  book_.Take(At(0), Left(1));
  book_.Take(At(0), Left(2, 2));
  const auto known = book_.Of(At(3), model::DaemonId("owner-1"));
  LONGS_EQUAL(1, known.records_.size());
  STRCMP_EQUAL("i-1", known.records_[0].id_.Value().c_str());
  CHECK_TRUE(known.records_[0].age_ == milliseconds(3500));
}

// Guards against records that a repeated report doubles until others are pushed out.
TEST(DepartureBook, TheSameReportAgainChangesNothing)
{
  book_.Take(At(0), Left(1));
  book_.Take(At(1), Left(1));
  LONGS_EQUAL(1, book_.Of(At(1), model::DaemonId("owner-1")).records_.size());
}

// Guards against memory that grows with each departure, and with each address that ever reported.
TEST(DepartureBook, IsBoundedInRecordsOwnersAndTime)
{
  for (int i = 0; i < 40; ++i) {
    book_.Take(At(0), Left(i));
  }
  const auto known = book_.Of(At(0), model::DaemonId("owner-1"));
  LONGS_EQUAL(DepartureBook::kMostRecords, known.records_.size());
  STRCMP_EQUAL("i-39", known.records_.back().id_.Value().c_str());
  for (int i = 0; i < 5000; ++i) {
    book_.Take(At(0), Left(1, i));
  }
  LONGS_EQUAL(DepartureBook::kMostOwners, book_.Owners());
  CHECK_TRUE(book_.Of(At(601), model::DaemonId("owner-1")).records_.empty());
  book_.Take(At(700), Left(1, 9000));
  LONGS_EQUAL(1, book_.Owners());
}
