#pragma once

#include "hemlockproxy/model/Result.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <new>
#include <stdexcept>
#include <string>
#include <string_view>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace hemlockproxy::wire {

/// Says why bytes are not the expected message.
struct DecodeError
{
  std::string message_;
};

/// Returns the compact-protocol bytes of a generated struct.
template <typename T>
[[nodiscard]] std::string EncodeThrift(const T& aMessage)
{
  auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
  apache::thrift::protocol::TCompactProtocolT<apache::thrift::transport::TMemoryBuffer> protocol(
    buffer);
  aMessage.write(&protocol);
  return buffer->getBufferAsString();
}

/// Lists of messages have fewer elements: a list of all routes or members is the longest.
inline constexpr std::size_t kMostElements = 1UL << 16;

/// Reads a generated struct; fails on truncated, malformed or surplus bytes. The memory that it
/// takes is bounded by the number of bytes, whatever lengths the message names; Thrift bounds its
/// depth.
template <typename T>
[[nodiscard]] model::Result<T, DecodeError> DecodeThrift(std::string_view aBytes)
{
  using apache::thrift::transport::TMemoryBuffer;
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
      // The buffer only observes the bytes; Thrift's signature takes them as mutable.
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(aBytes.data())),
      static_cast<std::uint32_t>(aBytes.size()));
    // Each byte of a text and each element of a list takes a byte of the message at least. Thrift
    // takes a limit of 0 for none.
    const std::size_t most = std::max<std::size_t>(aBytes.size(), 1);
    apache::thrift::protocol::TCompactProtocolT<TMemoryBuffer> protocol(
      buffer,
      static_cast<std::int32_t>(std::min<std::size_t>(most, std::numeric_limits<int>::max())),
      static_cast<std::int32_t>(std::min(most, kMostElements)));
    T message;
    message.read(&protocol);
    if (buffer->available_read() != 0) {
      return DecodeError{ std::to_string(buffer->available_read()) +
                          " bytes after the end of the message" };
    }
    return message;
  } catch (const apache::thrift::TException& error) {
    return DecodeError{ error.what() };
  } catch (const std::bad_alloc&) {
    return DecodeError{ "a length field exceeds the available memory" };
  } catch (const std::length_error&) {
    return DecodeError{ "a length field is out of range" };
  }
}

} // namespace hemlockproxy::wire
