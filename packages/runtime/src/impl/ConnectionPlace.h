#pragma once

#include "hemlockproxy/decisions/ConnectionBounds.h"
#include "hemlockproxy/runtime/HttpServer.h"

#include <cstddef>

namespace hemlockproxy::runtime::impl {

// Estimates of what a connection takes, in bytes. Rounded up from the growth of a daemon's resident
// memory under CallerCrowdTest's crowds.

/// The connection's object and its socket's state in the loop.
inline constexpr std::size_t kIdleBytes = 4UL * 1024;
/// A fiber whose stack has been used, and the first buffer.
inline constexpr std::size_t kReadingBytes = 24UL * 1024;
/// A request with its handler: a part of a body each way, and a connection to its upstream.
inline constexpr std::size_t kRunningBytes = 80UL * 1024;
/// The response that is held until its turn.
inline constexpr std::size_t kHeldResponseBytes = 64UL * 1024;
/// A header line beside its bytes: the parsed field and its copies in the forwarded request.
inline constexpr std::size_t kLineBytes = 256;
/// The bytes of a head are held by the parser and by the forwarded request.
inline constexpr std::size_t kHeadCopies = 2;

/// Something that can be dropped to make room for others.
class Droppable
{
public:
  virtual ~Droppable() = default;
  /// Closes the connection, whose request has not run.
  virtual void Drop() = 0;
};

/// The place of one connection within the bounds that its server shares with others.
class ConnectionPlace
{
public:
  explicit ConnectionPlace(const HttpServerOptions& aOptions) noexcept
    : bounds_(aOptions.bounds_)
    , party_(aOptions.party_)
    , metrics_(aOptions.metrics_)
  {
  }
  ConnectionPlace(const ConnectionPlace&) = delete;
  ConnectionPlace& operator=(const ConnectionPlace&) = delete;
  ~ConnectionPlace()
  {
    if (entered_) {
      bounds_->Close(handle_);
    }
  }

  /// Returns whether the connection may be served. The owner is dropped when others need its place.
  [[nodiscard]] bool Enter(Droppable& aOwner)
  {
    const auto answer = bounds_->Open(
      reinterpret_cast<decisions::ConnectionBounds::Id>(&aOwner), party_, kIdleBytes, handle_);
    entered_ = answer.Granted();
    return CarryOut(answer, "connection") == decisions::ConnectionBound::None;
  }
  /// Changes what the connection is used for, and returns the bound that forbids it.
  [[nodiscard]] decisions::ConnectionBound Use(decisions::ConnectionUse aUse, std::size_t aMemory)
  {
    return CarryOut(bounds_->Change(handle_, aUse, aMemory), "request");
  }
  /// The same for a use that takes no more than the one before it.
  void EndUse(decisions::ConnectionUse aUse, std::size_t aMemory)
  {
    (void)bounds_->Change(handle_, aUse, aMemory);
  }
  /// Returns whether a request may be handled before its turn.
  [[nodiscard]] bool Add(std::size_t aMemory)
  {
    return CarryOut(bounds_->Add(handle_, aMemory), "pipelined") ==
           decisions::ConnectionBound::None;
  }
  void GiveBack(std::size_t aMemory) noexcept { bounds_->GiveBack(handle_, aMemory); }

private:
  decisions::ConnectionBound CarryOut(const decisions::ConnectionBounds::Answer& aAnswer,
                                      const char* aWhat)
  {
    for (const auto id : aAnswer.drop_) {
      Count(aAnswer.dropBound_, "dropped");
      // The id is the address that Enter gave. NOLINTNEXTLINE(performance-no-int-to-ptr)
      reinterpret_cast<Droppable*>(id)->Drop();
    }
    if (!aAnswer.Granted()) {
      Count(aAnswer.bound_, aWhat);
    }
    return aAnswer.bound_;
  }
  void Count(decisions::ConnectionBound aBound, const char* aWhat)
  {
    if (metrics_ != nullptr) {
      metrics_->Add(Family::ConnectionsBounded, { ToString(aBound), aWhat });
    }
  }

  std::shared_ptr<decisions::ConnectionBounds> bounds_;
  decisions::ConnectionParty party_;
  Metrics* metrics_;
  decisions::ConnectionBounds::Handle handle_;
  bool entered_ = false;
};

} // namespace hemlockproxy::runtime::impl
