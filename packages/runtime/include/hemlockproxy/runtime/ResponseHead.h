#pragma once

#include "hemlockproxy/runtime/Http.h"

#include <string_view>

namespace hemlockproxy::runtime {

/// Checks the head of a response, from the status line to the empty line that ends it; fails with
/// Malformed.
///
/// A valid head has a status from 100 to 599, field names that are tokens (RFC 9110), no control
/// bytes other than tab in values, and one body length: equal Content-Length values or chunks, but
/// not both. Folded lines are not valid. A response 1xx or 204 gives no body.
///
///     CheckResponseHead("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"); // is valid
[[nodiscard]] HttpResult<model::Unit> CheckResponseHead(std::string_view aHead);

} // namespace hemlockproxy::runtime
