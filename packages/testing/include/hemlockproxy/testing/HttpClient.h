#pragma once

#include "hemlockproxy/model/Address.h"

#include <chrono>
#include <map>
#include <string>

namespace hemlockproxy::testing {

/// A complete response; header names are in lower case.
struct HttpReply
{
  unsigned status_ = 0;
  std::map<std::string, std::string> headers_;
  std::string body_;

  /// Returns the value of a header given in lower case; empty when it is absent.
  [[nodiscard]] std::string Header(const std::string& aName) const;
};

/// Says why no complete response was received.
struct HttpClientError
{
  std::string message_;
};

/// One request of a test.
struct HttpCall
{
  std::string method_ = "GET";
  std::string target_ = "/";
  std::map<std::string, std::string> headers_;
  std::string body_;
  /// Covers the whole exchange from connecting to the last byte.
  std::chrono::milliseconds timeout_ = std::chrono::seconds(5);
};

/// Sends one request on a new connection and returns the complete response.
///
///     auto reply = SendHttp(address, { .method_ = "DELETE", .target_ = "/orders/1" });
[[nodiscard]] model::Result<HttpReply, HttpClientError> SendHttp(const model::Address& aAddress,
                                                                 const HttpCall& aCall);

[[nodiscard]] model::Result<HttpReply, HttpClientError> HttpGet(const model::Address& aAddress,
                                                                const std::string& aTarget);

[[nodiscard]] model::Result<HttpReply, HttpClientError> HttpPost(const model::Address& aAddress,
                                                                 const std::string& aTarget,
                                                                 const std::string& aBody = {});

} // namespace hemlockproxy::testing
