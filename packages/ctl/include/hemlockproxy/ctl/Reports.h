#pragma once

#include "hemlockproxy/ctl/ConfigStream.h"
#include "hemlockproxy/model/ServiceFile.h"

#include <string>

namespace hemlockproxy::ctl {

/// Returns one line for each error.
[[nodiscard]] std::string ErrorText(const model::FileErrors& aErrors);

/// Returns one line for each service, route, limit and retry rule in which the content to publish
/// differs from the current content; empty where both are equal.
[[nodiscard]] std::string DiffText(const model::ConfigContent& aCurrent,
                                   const model::ConfigContent& aOffered);

/// Returns one line for each retained record: offset, time (UTC), publication, operator, base and
/// outcome.
[[nodiscard]] std::string HistoryText(const History& aEntries);

} // namespace hemlockproxy::ctl
