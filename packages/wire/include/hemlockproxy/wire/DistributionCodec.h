#pragma once

#include "hemlockproxy/decisions/DistributionMessages.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>

namespace hemlockproxy::wire {

[[nodiscard]] std::string EncodeFetchRequest(const decisions::FetchRequest& aRequest);

/// Reads a fetch request; fails when the digests are not whole.
[[nodiscard]] model::Result<decisions::FetchRequest, DecodeError> DecodeFetchRequest(
  std::string_view aBytes);

/// Returns the bytes of a fetch response; the handover's content_ is left out.
[[nodiscard]] std::string EncodeFetchResponse(const decisions::FetchResponse& aResponse);

/// Reads a fetch response and recomputes the digest of each resource; fails on malformed bytes,
/// resources that do not decode and digests that are not whole.
[[nodiscard]] model::Result<decisions::FetchResponse, DecodeError> DecodeFetchResponse(
  std::string_view aBytes);

} // namespace hemlockproxy::wire
