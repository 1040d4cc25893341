#pragma once

#include "hemlockproxy/ctl/Fleet.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::ctl {

/// A file of structured lines, as daemons write them to standard output.
struct LogFile
{
  std::string name_;
  std::string text_;
};

/// Tells the story of one request: its lines from all daemons in the order of time, and what those
/// daemons noticed in the five seconds before its end. Text that is no structured line is skipped,
/// and a prefix before a line is ignored.
///
/// Ends with ExitCode::NotFound when no line has the id. A file with a broken structured line is
/// named in errors_.
[[nodiscard]] FleetReport ExplainRequest(std::string_view aRequestId,
                                         const std::vector<LogFile>& aFiles);

} // namespace hemlockproxy::ctl
