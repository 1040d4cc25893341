#include "RequestCheck.h"

#include <boost/beast/core/string.hpp>

#include <string_view>

namespace hemlockproxy::runtime::impl {

namespace {

constexpr unsigned kHttp11 = 11;

/// Splits a target in absolute form; returns false when it has no authority.
bool UseAbsoluteForm(RequestHeader& aHeader, std::string_view aTarget)
{
  const auto schemeEnd = aTarget.find("://");
  const std::string scheme(aTarget.substr(0, schemeEnd));
  if (schemeEnd == std::string_view::npos ||
      !(boost::beast::iequals(scheme, "http") || boost::beast::iequals(scheme, "https"))) {
    return false;
  }
  const std::string_view rest = aTarget.substr(schemeEnd + 3);
  const auto authorityEnd = rest.find_first_of("/?");
  const std::string authority(rest.substr(0, authorityEnd));
  if (authority.empty() || authority.find('@') != std::string::npos) {
    return false;
  }
  std::string origin(authorityEnd == std::string_view::npos ? "" : rest.substr(authorityEnd));
  if (origin.empty() || origin.front() != '/') {
    origin.insert(origin.begin(), '/');
  }
  aHeader.target(origin);
  aHeader.set(http::field::host, authority);
  return true;
}

} // namespace

std::optional<RequestProblem> CheckRequest(RequestHeader& aHeader)
{
  if (aHeader.method() == http::verb::connect) {
    return RequestProblem{ http::status::method_not_allowed, "CONNECT is not supported" };
  }
  const auto hosts = aHeader.count(http::field::host);
  if (hosts > 1) {
    return RequestProblem{ http::status::bad_request, "found two Host fields, expected one" };
  }
  if (hosts == 0 && aHeader.version() >= kHttp11) {
    return RequestProblem{ http::status::bad_request, "found no Host field, expected one" };
  }
  const std::string target(aHeader.target());
  const bool asterisk = target == "*" && aHeader.method() == http::verb::options;
  if (target.front() == '/' || asterisk || UseAbsoluteForm(aHeader, target)) {
    return std::nullopt;
  }
  return RequestProblem{ http::status::bad_request,
                         "found request target \"" + target +
                           "\", expected a path or an http URL" };
}

} // namespace hemlockproxy::runtime::impl
