#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Clock.h"
#include "hemlockproxy/model/Ids.h"

#include <chrono>
#include <cstdint>

namespace hemlockproxy::model {

/// What a backend server reports of itself to the daemon on its instance.
struct BackendReport
{
  /// Empty where backend servers have no ids; their reports count in the order of arrival.
  BackendId id_;
  ServiceName service_;
  Address address_;
  /// Requests that it runs at once.
  std::uint32_t slots_ = 1;
  /// Connections that it accepts; 0 means that only the configuration tells.
  std::uint32_t connections_ = 0;
  bool draining_ = false;
  /// For how much longer it works slowly after its start.
  std::chrono::milliseconds coldFor_{ 0 };
  /// When this start of it began, by its own clock. Orders the starts of one id.
  WallTime startedAt_{};
  /// Rises with each report of one start.
  std::uint64_t sequence_ = 0;

  friend bool operator==(const BackendReport&, const BackendReport&) = default;
};

} // namespace hemlockproxy::model
