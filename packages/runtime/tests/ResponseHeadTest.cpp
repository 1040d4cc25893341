#include "hemlockproxy/runtime/ResponseHead.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;

namespace {

void CheckValid(const std::string& aHead)
{
  const auto checked = CheckResponseHead(aHead + "\r\n\r\n");
  CHECK_TRUE_TEXT(checked.Ok(), aHead.c_str());
}

void CheckInvalid(const std::string& aHead)
{
  const auto checked = CheckResponseHead(aHead + "\r\n\r\n");
  CHECK_FALSE_TEXT(checked.Ok(), aHead.c_str());
  CHECK_TRUE(checked.Error().kind_ == HttpErrorKind::Malformed);
}

/// A head whose second line is the given one.
std::string With(const std::string& aLine, const std::string& aStatus = "200 OK")
{
  return "HTTP/1.1 " + aStatus + "\r\n" + aLine + "\r\nServer: a";
}

} // namespace

TEST_GROUP(ResponseHead){};

TEST(ResponseHead, TakesUsualHeads)
{
  CheckValid("HTTP/1.1 200 OK");
  CheckValid("HTTP/1.1 200 ");
  CheckValid("HTTP/1.1 200");
  CheckValid("HTTP/1.0 404 Not Found");
  CheckValid("HTTP/1.1 599 Highest");
  CheckValid(With("Content-Length: 0"));
  CheckValid(With("content-length:18446744073709551615"));
  CheckValid(With("Content-Length: 7 \r\nContent-Length: 7"));
  CheckValid(With("Transfer-Encoding: chunked"));
  CheckValid(With("Transfer-Encoding: gzip\r\nTransfer-Encoding: , Chunked"));
  CheckValid(With("X-Empty:"));
  CheckValid(With("X-Tab: a\tb"));
  CheckValid(With("X-Text: \xc3\xa4"));
  CheckValid(With("a!#$%&'*+-.^_`|~1: a"));
}

// Guards against a faulty server whose number is passed on as a status.
TEST(ResponseHead, RejectsOtherStatuses)
{
  for (const char* status :
       { "000 A", "099 A", "600 A", "999 A", "20 A", "2000 A", "2x0 A", "-20" }) {
    CheckInvalid(std::string("HTTP/1.1 ") + status);
  }
  for (const char* line :
       { "", "200 OK", "HTTP/2.0 200 OK", "HTTP/1.1  200 OK", "http/1.1 200 OK" }) {
    CheckInvalid(line);
  }
  CheckInvalid("HTTP/1.1 200 O\x01K");
}

// Guards against lines that a parser further on takes for another field, or for the body.
TEST(ResponseHead, RejectsFieldNamesThatAreNoTokens)
{
  for (const char* line : { "Bad Name: a",
                            "Name : a",
                            " Name: a",
                            "\tName: a",
                            ": a",
                            "no colon",
                            "Bad\x01Name: a",
                            "Bad\x7fName: a",
                            "Bad\tName: a",
                            "Bad\xc3\xa4: a",
                            "Bad(Name): a" }) {
    CheckInvalid(With(line));
  }
  CheckInvalid(With(std::string("Bad\0Name: a", 11)));
}

TEST(ResponseHead, RejectsControlBytesInValues)
{
  for (int byte = 0; byte < 0x20; ++byte) {
    if (byte != '\t') {
      CheckInvalid(With("Name: a" + std::string(1, static_cast<char>(byte)) + "b"));
    }
  }
  CheckInvalid(With("Name: a\x7f"));
}

TEST(ResponseHead, RejectsFoldedLines)
{
  CheckInvalid(With("Name: a\r\n b"));
  CheckInvalid(With("Name: a\r\n\tb"));
}

// Guards against a body whose end two readers place differently.
TEST(ResponseHead, RejectsSeveralBodyLengths)
{
  for (const char* line : { "Content-Length: 7\r\nContent-Length: 8",
                            "Content-Length: 7, 7",
                            "Content-Length: +7",
                            "Content-Length: -7",
                            "Content-Length: 7 7",
                            "Content-Length: 0x7",
                            "Content-Length:",
                            "Content-Length: 18446744073709551616",
                            "Content-Length: 7\r\nTransfer-Encoding: chunked",
                            "Transfer-Encoding: chunked\r\nContent-Length: 0",
                            "Transfer-Encoding: gzip",
                            "Transfer-Encoding:",
                            "Transfer-Encoding: chunked, gzip",
                            "Transfer-Encoding: chunked, chunked",
                            "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity" }) {
    CheckInvalid(With(line));
  }
  CheckInvalid("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked");
}

TEST(ResponseHead, RejectsBodiesOfResponsesThatHaveNone)
{
  for (const char* status : { "100 Continue", "103 Hints", "204 No Content" }) {
    CheckValid(With("X: a", status));
    CheckValid(With("Content-Length: 0", status));
    CheckInvalid(With("Content-Length: 1", status));
    CheckInvalid(With("Transfer-Encoding: chunked", status));
  }
  // The length of what a GET would have returned.
  CheckValid(With("Content-Length: 7", "304 Not Modified"));
}

TEST(ResponseHead, RejectsAHeadThatBreaksOff)
{
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n";
  for (std::size_t length = 0; length < head.size(); ++length) {
    CHECK_FALSE(CheckResponseHead(head.substr(0, length)).Ok());
  }
  CHECK_TRUE(CheckResponseHead(head).Ok());
}
