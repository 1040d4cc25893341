#include "QuarantineNode.h"

#include <map>
#include <mutex>

using namespace hemlockproxy;
using namespace hemlockproxy::daemon;
using namespace hemlockproxy::daemon::test;
using std::chrono::milliseconds;

namespace {

/// A log in memory that outlives the daemons. Streams keep the newest record of each key.
class MemoryLog
{
public:
  [[nodiscard]] model::LogOffset Put(const std::string& aStream,
                                     const std::string& aKey,
                                     const std::string& aBytes)
  {
    const std::lock_guard lock(mutex_);
    const model::LogOffset offset(next_++);
    streams_[aStream].insert_or_assign(
      aKey, runtime::LogRecord{ offset, model::WallNow(), aBytes, aKey });
    return offset;
  }
  [[nodiscard]] runtime::LogBatch Newest(const std::string& aStream)
  {
    const std::lock_guard lock(mutex_);
    runtime::LogBatch batch;
    for (const auto& [key, record] : streams_[aStream]) {
      batch.records_.push_back(record);
    }
    batch.next_ = batch.resume_ = model::LogOffset(next_);
    return batch;
  }

private:
  std::mutex mutex_;
  std::uint64_t next_ = 0;
  std::map<std::string, std::map<std::string, runtime::LogRecord>> streams_;
};

class MemoryLogPort final : public runtime::LogPort
{
public:
  explicit MemoryLogPort(MemoryLog& aLog)
    : log_(aLog)
  {
  }
  [[nodiscard]] model::Result<runtime::LogPosition, runtime::LogError> Append(
    std::string_view aStream,
    std::string_view aBytes) override
  {
    return Put(aStream, {}, aBytes);
  }
  [[nodiscard]] model::Result<runtime::LogPosition, runtime::LogError>
  Put(std::string_view aStream, std::string_view aKey, std::string_view aBytes) override
  {
    return runtime::LogPosition{
      {}, log_.Put(std::string(aStream), std::string(aKey), std::string(aBytes))
    };
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> Read(std::string_view aStream,
                                                                         model::LogOffset,
                                                                         milliseconds,
                                                                         std::size_t) override
  {
    return log_.Newest(std::string(aStream));
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> ReadNewest(
    std::string_view aStream) override
  {
    return log_.Newest(std::string(aStream));
  }
  [[nodiscard]] model::Result<runtime::LogBatch, runtime::LogError> ReadNewestPage(
    std::string_view aStream,
    std::string_view) override
  {
    return log_.Newest(std::string(aStream));
  }

private:
  MemoryLog& log_;
};

} // namespace

TEST_GROUP(QuarantineAllRestarted){};

// Guards against a request that crashes three more backend servers after each restart of all
// daemons: what they know of it is held by peers only.
TEST(QuarantineAllRestarted, ASuspectOutlivesARestartOfAllDaemons)
{
  MemoryLog log;
  const runtime::LogFactory makeLog = [&log](const auto&, const auto&, auto, const auto&) {
    return std::make_unique<MemoryLogPort>(log);
  };
  const auto first = FreeAddress();
  const auto second = FreeAddress();
  {
    Node one(first, second, Suspects(), makeLog);
    Node two(second, first, Suspects(), makeLog);
    one.Tell(EndpointOf("portal"));
    two.Tell(EndpointOf("portal"));
    CHECK_TRUE(Eventually([&] { return one.Known() == 2 && two.Known() == 2; }));
    one.Tell(QuarantineNews{ Suspects() });
    CHECK_TRUE(Eventually([&] { return two.received_ > 0; }));
  }
  Node one(first, second, {}, makeLog);
  Node two(second, first, {}, makeLog);
  one.Tell(EndpointOf("portal"));
  two.Tell(EndpointOf("portal"));
  CHECK_TRUE(Eventually([&] { return one.Known() == 2 && two.Known() == 2; }));
  CHECK_TRUE(Eventually([&] { return one.received_ > 0 && two.received_ > 0; }));
}
