#pragma once

#include "hemlockproxy/model/Ids.h"
#include "hemlockproxy/model/Member.h"

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace hemlockproxy::daemon {

/// What the control thread reports of itself: an immutable snapshot.
struct Status
{
  bool ready_ = false;
  bool leaving_ = false;
  model::ConfigVersion version_;
  /// The floor below which this daemon does not serve.
  model::ConfigVersion floor_;
  bool logReader_ = false;
  bool relay_ = false;
  /// Offset of the next config record to read; only a log reader's rises.
  model::LogOffset nextOffset_;
  bool logAvailable_ = false;
  std::vector<std::shared_ptr<const model::MemberRecord>> members_;
  std::vector<model::FailureDomain> unreachable_;
};

using StatusPtr = std::shared_ptr<const Status>;

/// The place where the control thread puts its newest status.
class StatusSlot
{
public:
  StatusSlot()
    : status_(std::make_shared<const Status>())
  {
  }

  [[nodiscard]] StatusPtr Load() const noexcept { return status_.load(); }
  void Store(StatusPtr aStatus) noexcept { status_.store(std::move(aStatus)); }

private:
  std::atomic<StatusPtr> status_;
};

} // namespace hemlockproxy::daemon
