#pragma once

#include "hemlockproxy/daemon/Upstream.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace hemlockproxy::daemon::impl {

/// Counts bytes as held in memory for its lifetime.
class HeldBytes
{
public:
  /// The total must live longer.
  HeldBytes(std::size_t& aTotal, std::size_t aBytes) noexcept
    : total_(&aTotal)
    , bytes_(aBytes)
  {
    *total_ += bytes_;
  }
  HeldBytes(HeldBytes&& aOther) noexcept
    : total_(aOther.total_)
    , bytes_(std::exchange(aOther.bytes_, 0))
  {
  }
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  HeldBytes& operator=(HeldBytes&&) = delete;
  ~HeldBytes() { *total_ -= bytes_; }

private:
  std::size_t* total_;
  std::size_t bytes_;
};

/// A response body held in memory.
class HeldBody final : public UpstreamBody
{
public:
  explicit HeldBody(std::string aBody, std::optional<HeldBytes> aHeld = std::nullopt)
    : held_(std::move(aHeld))
    , body_(std::move(aBody))
    , left_(body_)
  {
  }
  HeldBody(const HeldBody&) = delete;
  HeldBody& operator=(const HeldBody&) = delete;

  [[nodiscard]] runtime::HttpResult<std::size_t> Read(char* aBuffer, std::size_t aSize) override
  {
    return left_.Read(aBuffer, aSize);
  }
  void SetStallTimeout(std::chrono::milliseconds /*aTimeout*/) override {}
  [[nodiscard]] std::optional<std::string_view> Held() const noexcept override
  {
    return left_.Left();
  }

private:
  std::optional<HeldBytes> held_;
  std::string body_;
  runtime::StringBody left_;
};

/// Returns the length of a response's body as its header gives it.
[[nodiscard]] std::optional<std::size_t> BodyLengthOf(const runtime::ResponseHeader& aHeader);

/// Reads a body of known length to its end; fails when it breaks off.
[[nodiscard]] runtime::HttpResult<std::string> ReadWhole(runtime::BodySource& aBody,
                                                         std::size_t aLength);

/// The longest pause in the text of a rejection. The rejection is known without it, and another
/// connection costs less than a wait.
inline constexpr std::chrono::milliseconds kRejectionTextTime{ 50 };

/// Reads and drops the rest of a short body, so that its connection can be used again; a long one
/// is left alone.
void DropRest(runtime::BodySource& aBody);

} // namespace hemlockproxy::daemon::impl
