#pragma once

#include "hemlockproxy/model/BackendReport.h"
#include "hemlockproxy/model/Result.h"

#include <string>
#include <string_view>

namespace hemlockproxy::daemon {

/// Says what is wrong with an announcement, and where.
struct AnnouncementError
{
  std::string message_;
};

/// Parses a backend server's announcement: a YAML map with service, address (IP:PORT), slots,
/// connections and draining; the last two are optional.
///
///     auto backend = ParseAnnouncement("service: bitacora\naddress: 127.0.0.1:9000\nslots: 20\n");
[[nodiscard]] model::Result<model::BackendReport, AnnouncementError> ParseAnnouncement(
  std::string_view aText);

} // namespace hemlockproxy::daemon
