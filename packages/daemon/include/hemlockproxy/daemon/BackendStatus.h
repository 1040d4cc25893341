#pragma once

#include <cstdint>
#include <optional>

namespace hemlockproxy::daemon {

/// The work that a backend server reports of itself.
struct ReportedLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  /// How long work takes on its host at present, as a multiple of the usual time; nothing where the
  /// backend server does not say.
  std::optional<double> slowdown_;
};

/// What a backend server says of itself in the header of a response.
struct BackendStatus
{
  /// The requests per second that it takes from all daemons together; nothing without a limit.
  std::optional<double> requestLimit_;
  /// It leaves, and takes no new requests.
  bool leaving_ = false;
  /// Nothing where the backend server does not report its load, or the report is invalid.
  std::optional<ReportedLoad> load_;
  /// A figure of the load report is invalid and was ignored.
  bool hasInvalidLoad_ = false;
};

} // namespace hemlockproxy::daemon
