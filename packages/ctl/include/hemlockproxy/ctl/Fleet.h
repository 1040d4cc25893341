#pragma once

#include "hemlockproxy/ctl/AdminPort.h"
#include "hemlockproxy/ctl/ExitCode.h"
#include "hemlockproxy/model/Event.h"

#include <string>
#include <vector>

namespace hemlockproxy::ctl {

/// What several daemons told; errors_ has one line for each daemon that did not answer.
struct FleetReport
{
  ExitCode code_ = ExitCode::Done;
  std::string text_;
  std::string errors_;
};

enum class TimelineFormat : unsigned char
{
  Text,
  /// An array of objects with wall_ms, counter, daemon, part, kind and detail.
  Json,
};

/// Returns one line for each daemon with its version and roles, and one for the versions in effect.
[[nodiscard]] FleetReport ReadStatus(AdminPort& aAdmin,
                                     const std::vector<model::Address>& aDaemons);

/// Merges the event rings of daemons in the order of their hybrid logical clock timestamps.
[[nodiscard]] FleetReport ReadTimeline(AdminPort& aAdmin,
                                       const std::vector<model::Address>& aDaemons,
                                       TimelineFormat aFormat);

} // namespace hemlockproxy::ctl
