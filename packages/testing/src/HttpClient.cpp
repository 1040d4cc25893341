#include <utility>

#include "hemlockproxy/testing/HttpClient.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace hemlockproxy::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kBodyLimitBytes = 256ULL * 1024 * 1024;

/// One exchange; asynchronous because Beast's timeouts only cover asynchronous operations.
class Exchange
{
public:
  Exchange(const model::Address& aAddress, const HttpCall& aCall)
    : stream_(context_)
    , endpoint_(asio::ip::make_address(aAddress.ip_), aAddress.port_)
  {
    request_.version(11);
    request_.method_string(aCall.method_);
    request_.target(aCall.target_);
    request_.set(http::field::host, ToString(aAddress));
    request_.keep_alive(false);
    for (const auto& [name, value] : aCall.headers_) {
      request_.set(name, value);
    }
    request_.body() = aCall.body_;
    request_.prepare_payload();
    parser_.body_limit(kBodyLimitBytes);
    parser_.skip(aCall.method_ == "HEAD");
    stream_.expires_after(aCall.timeout_);
  }

  model::Result<HttpReply, HttpClientError> Run()
  {
    stream_.async_connect(endpoint_, [this](error_code aError) {
      if (Succeeded("connect", aError)) {
        Write();
      }
    });
    context_.run();
    if (!failure_.empty()) {
      return HttpClientError{ failure_ };
    }
    HttpReply reply{ parser_.get().result_int(), {}, std::move(parser_.get().body()) };
    for (const auto& field : parser_.get()) {
      std::string name(field.name_string());
      for (char& letter : name) {
        letter = static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
      }
      reply.headers_[name] = std::string(field.value());
    }
    return reply;
  }

private:
  void Write()
  {
    http::async_write(stream_, request_, [this](error_code aError, std::size_t) {
      // A server may respond and close before it has read the whole request.
      if (!aError || aError != beast::error::timeout) {
        Read();
      } else {
        Succeeded("write", aError);
      }
    });
  }

  void Read()
  {
    http::async_read(stream_, buffer_, parser_, [this](error_code aError, std::size_t) {
      Succeeded("read", aError);
    });
  }

  bool Succeeded(const char* aStep, error_code aError)
  {
    if (aError) {
      failure_ = std::string(aStep) + ": " + aError.message();
    }
    return !aError;
  }

  asio::io_context context_;
  beast::tcp_stream stream_;
  tcp::endpoint endpoint_;
  http::request<http::string_body> request_;
  beast::flat_buffer buffer_;
  http::response_parser<http::string_body> parser_;
  std::string failure_;
};

} // namespace

std::string HttpReply::Header(const std::string& aName) const
{
  const auto found = headers_.find(aName);
  return found == headers_.end() ? std::string() : found->second;
}

model::Result<HttpReply, HttpClientError> SendHttp(const model::Address& aAddress,
                                                   const HttpCall& aCall)
{
  return Exchange(aAddress, aCall).Run();
}

model::Result<HttpReply, HttpClientError> HttpGet(const model::Address& aAddress,
                                                  const std::string& aTarget)
{
  return SendHttp(aAddress, HttpCall{ .target_ = aTarget });
}

model::Result<HttpReply, HttpClientError> HttpPost(const model::Address& aAddress,
                                                   const std::string& aTarget,
                                                   const std::string& aBody)
{
  return SendHttp(aAddress, HttpCall{ .method_ = "POST", .target_ = aTarget, .body_ = aBody });
}

} // namespace hemlockproxy::testing
