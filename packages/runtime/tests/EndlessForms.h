#pragma once

#include <string>
#include <vector>

namespace hemlockproxy::runtime::test {

/// What a faulty server sends: a text, and then another one again and again.
struct EndlessForm
{
  const char* name_;
  std::string start_;
  std::string repeated_;
};

/// Returns bytes that never become a whole answer, or go on behind one, by the place where they do
/// not end.
inline std::vector<EndlessForm> EndlessForms()
{
  const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string data(1024, 'a');
  const auto lines = [](const std::string& aLine) {
    std::string all;
    while (all.size() < 1024) {
      all += aLine;
    }
    return all;
  };
  return {
    { "status line", "", data },
    { "binary", "", std::string(1024, '\x80') },
    { "zeros", "", std::string(1024, '\0') },
    { "empty lines", "", lines("\r\n") },
    { "head lines", "HTTP/1.1 200 OK\r\n", lines("x:y\r\n") },
    { "folded lines", "HTTP/1.1 200 OK\r\nx:y\r\n", lines(" \tz\r\n") },
    { "one head line", "HTTP/1.1 200 OK\r\nX-Field: ", data },
    { "continue", "", lines("HTTP/1.1 100 Continue\r\n\r\n") },
    { "early hints", "", lines("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n") },
    { "chunk size", chunked, std::string(1024, '0') },
    { "chunk extension", chunked + "5;", data },
    { "trailers", chunked + "0\r\n", lines("x:y\r\n") },
    { "small chunks", chunked, lines("1\r\na\r\n") },
    { "large chunk", chunked + "fffffffffff\r\n", data },
    { "large length", "HTTP/1.1 200 OK\r\nContent-Length: 4398046511104\r\n\r\n", data },
    { "no length", "HTTP/1.1 200 OK\r\n\r\n", data },
    { "behind an answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", data },
    { "behind a status without body", "HTTP/1.1 204 No Content\r\n\r\n", data },
    { "behind 304", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", data },
    { "upgrade",
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
      data },
  };
}

} // namespace hemlockproxy::runtime::test
