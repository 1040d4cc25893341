#pragma once

#include <optional>

namespace hemlockproxy::daemon {

/// What a backend server says of itself in the header of a response.
struct BackendStatus
{
  /// The requests per second that it takes from all daemons together; nothing without a limit.
  std::optional<double> requestLimit_;
  /// It leaves, and takes no new requests.
  bool leaving_ = false;
};

} // namespace hemlockproxy::daemon
