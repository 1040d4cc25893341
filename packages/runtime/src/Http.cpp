#include "hemlockproxy/runtime/Http.h"

#include "impl/HttpStream.h"

#include <boost/beast/http/rfc7230.hpp>

#include <array>
#include <sys/socket.h>
#include <vector>

namespace hemlockproxy::runtime {

namespace impl {

HttpError ToHttpError(const boost::system::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return HttpError{ HttpErrorKind::TimedOut, "no progress within the time limit" };
  }
  if (aError == http::error::end_of_stream) {
    return HttpError{ HttpErrorKind::Closed, "the peer closed the connection" };
  }
  if (aError == http::error::header_limit) {
    return HttpError{ HttpErrorKind::HeaderTooLarge, "the header exceeds the size limit" };
  }
  if (aError == http::error::body_limit) {
    return HttpError{ HttpErrorKind::BodyTooLarge, "the body exceeds the size limit" };
  }
  if (aError == http::error::partial_message) {
    return HttpError{ HttpErrorKind::Broken, "the connection ended inside a message" };
  }
  if (aError.category() == http::make_error_code(http::error::bad_method).category()) {
    return HttpError{ HttpErrorKind::Malformed, aError.message() };
  }
  return HttpError{ HttpErrorKind::Broken, aError.message() };
}

bool PeerClosed(asio::ip::tcp::socket::native_handle_type aSocket) noexcept
{
  char byte = 0;
  const ssize_t received = ::recv(aSocket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (received > 0) {
    return false;
  }
  return received == 0 || (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

} // namespace impl

void RemoveHopByHopFields(http::fields& aFields)
{
  std::vector<std::string> named;
  for (const auto& token : http::token_list(aFields[http::field::connection])) {
    named.emplace_back(token);
  }
  for (const std::string& name : named) {
    if (!boost::beast::iequals(name, "transfer-encoding") &&
        !boost::beast::iequals(name, "content-length")) {
      aFields.erase(name);
    }
  }
  constexpr std::array kHopByHop = { http::field::connection,       http::field::keep_alive,
                                     http::field::proxy_connection, http::field::te,
                                     http::field::trailer,          http::field::upgrade };
  for (const http::field field : kHopByHop) {
    aFields.erase(field);
  }
}

} // namespace hemlockproxy::runtime
