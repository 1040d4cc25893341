#pragma once

#include "hemlockproxy/testing/FaultTable.h"

namespace hemlockproxy::testing {

/// The settable faults of a backend server.
struct BackendFaults
{
  std::string match_;
  std::string matchTag_;
  std::int64_t next_ = 0;
  std::string crashPath_;
  std::int64_t crashAfterMs_ = 0;
  bool stall_ = false;
  bool cut_ = false;
  bool reset_ = false;
  bool shortBody_ = false;
  bool fail_ = false;
  bool unhealthy_ = false;
  std::int64_t extraDelayMs_ = 0;
  std::string loadReport_;
  std::int64_t loadLagMs_ = 0;
};

[[nodiscard]] std::span<const FaultField<BackendFaults>> BackendFaultTable() noexcept;

/// The faults that apply to one request.
struct RequestFaults
{
  bool stall_ = false;
  bool cut_ = false;
  bool reset_ = false;
  bool shortBody_ = false;
  bool fail_ = false;
  std::int64_t extraDelayMs_ = 0;
};

/// Returns the faults for a request by path and tag, and counts down `next`.
[[nodiscard]] RequestFaults TakeFaults(BackendFaults& aFaults,
                                       const std::string& aPath,
                                       const std::string& aTag);

} // namespace hemlockproxy::testing
