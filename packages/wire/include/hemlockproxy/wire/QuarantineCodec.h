#pragma once

#include "hemlockproxy/decisions/Quarantine.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::wire {

using QuarantineRecords = std::vector<decisions::QuarantineRecord>;

[[nodiscard]] std::string EncodeQuarantineReport(const QuarantineRecords& aRecords);

/// Reads a report; fails on malformed bytes, negative ages and more crashes per record than
/// kMaximumCrashes.
[[nodiscard]] model::Result<QuarantineRecords, DecodeError> DecodeQuarantineReport(
  std::string_view aBytes);

} // namespace hemlockproxy::wire
