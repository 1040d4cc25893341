#pragma once

#include "TrafficFixture.h"

#include <optional>

namespace hemlockproxy::daemon::test {

/// An owner with the listener for other daemons.
class Owner
{
public:
  Owner(const runtime::IoContextPtr& aIo,
        const model::Address& aBackend,
        std::uint32_t aSlots = 4,
        std::uint64_t aLinkBytesPerSecond = 0)
    : service_(MakeOwner(aIo, surroundings_, aBackend, aSlots, aLinkBytesPerSecond))
  {
    forward_.emplace(aIo, [this](auto& aExchange) { service_->HandleForwarded(aExchange); });
    forward_->Start();
  }
  ~Owner()
  {
    forward_.reset();
    // The ticker of the queue uses the service until its next turn.
    boost::this_fiber::sleep_for(kSettle);
  }
  Owner(const Owner&) = delete;
  Owner& operator=(const Owner&) = delete;

  [[nodiscard]] OwnerService& Service() { return *service_; }
  [[nodiscard]] model::Address Address() const { return forward_->Address(); }

private:
  Surroundings surroundings_;
  std::unique_ptr<OwnerService> service_;
  std::optional<Server> forward_;
};

} // namespace hemlockproxy::daemon::test
