#pragma once

#include "hemlockproxy/model/ConfigRecord.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>

namespace hemlockproxy::wire {

/// Returns the bytes of a config stream record.
[[nodiscard]] std::string EncodeConfigRecord(const model::ConfigRecord& aRecord);

/// Reads a config stream record; fails on malformed bytes, duplicate services, negative numbers and
/// unknown limits.
[[nodiscard]] model::Result<model::ConfigRecord, DecodeError> DecodeConfigRecord(
  std::string_view aBytes);

/// Returns the bytes of one service resource, as fetched between daemons.
[[nodiscard]] std::string EncodeResource(const model::ServiceResource& aResource);

/// Reads one service resource and recomputes its digest.
[[nodiscard]] model::Result<model::ServiceResourcePtr, DecodeError> DecodeResource(
  std::string_view aBytes);

} // namespace hemlockproxy::wire
