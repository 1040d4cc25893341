#pragma once

#include "hemlockproxy/runtime/Http.h"

#include <optional>
#include <string>

namespace hemlockproxy::runtime::impl {

/// Why a request is answered by the server itself.
struct RequestProblem
{
  http::status status_ = http::status::bad_request;
  std::string message_;
};

/// Checks the parts of a request header that Beast's parser leaves open: the number of Host fields
/// and the form of the target (RFC 9112, sections 3.2 and 3.3). A target in absolute form becomes
/// the Host field and a target in origin form, so that routes see one form only.
[[nodiscard]] std::optional<RequestProblem> CheckRequest(RequestHeader& aHeader);

} // namespace hemlockproxy::runtime::impl
