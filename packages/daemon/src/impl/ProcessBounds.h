#pragma once

#include "hemlockproxy/daemon/Settings.h"
#include "hemlockproxy/decisions/ConnectionBounds.h"

#include <cstddef>
#include <memory>

namespace hemlockproxy::daemon::impl {

using ConnectionBoundsPtr = std::shared_ptr<decisions::ConnectionBounds>;

/// Returns the instance's memory in bytes: that of the settings, else the process's own limit, else
/// the machine's memory.
[[nodiscard]] std::size_t MemoryOf(const Settings& aSettings) noexcept;
/// Returns the descriptors that the process may open: those of the settings, else its own limit.
[[nodiscard]] std::size_t DescriptorsOf(const Settings& aSettings) noexcept;

/// Returns the bounds that the listeners of the traffic thread share.
[[nodiscard]] ConnectionBoundsPtr MakeTrafficBounds(const Settings& aSettings);
/// Returns the bounds of the control port.
[[nodiscard]] ConnectionBoundsPtr MakeControlBounds(const Settings& aSettings);
/// Returns the bounds that the listeners of the telemetry thread share.
[[nodiscard]] ConnectionBoundsPtr MakeTelemetryBounds(const Settings& aSettings);

} // namespace hemlockproxy::daemon::impl
