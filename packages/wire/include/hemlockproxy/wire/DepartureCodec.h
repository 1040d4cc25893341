#pragma once

#include "hemlockproxy/decisions/DepartureBook.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>

namespace hemlockproxy::wire {

[[nodiscard]] std::string EncodeDepartureReport(const decisions::DepartureReport& aReport);

/// Reads a report; fails on malformed bytes, negative ages, empty ids and more records than
/// DepartureBook::kMostRecords.
[[nodiscard]] model::Result<decisions::DepartureReport, DecodeError> DecodeDepartureReport(
  std::string_view aBytes);

} // namespace hemlockproxy::wire
