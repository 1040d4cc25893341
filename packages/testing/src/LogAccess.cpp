#include "hemlockproxy/testing/LogAccess.h"

#include "hemlockproxy/platform/StoreClient.h"

#include <chrono>
#include <thread>

namespace hemlockproxy::testing {

namespace {

constexpr std::chrono::milliseconds kTimeout{ 5000 };

} // namespace

void WithLog(const model::Address& aAddress, const std::function<void(runtime::LogPort&)>& aUse)
{
  // A thread runs at most one fiber loop in its life.
  std::thread([&aAddress, &aUse] {
    auto io = std::make_shared<runtime::IoContext>(1);
    runtime::RunFiberLoop(io, [&] { aUse(*platform::MakeStoreClient(io, aAddress, kTimeout)); });
  }).join();
}

} // namespace hemlockproxy::testing
