#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Ids.h"

#include <cstdint>
#include <optional>

namespace hemlockproxy::model {

/// A backend server as it announced itself to the daemon on its instance.
struct Endpoint
{
  ServiceName service_;
  /// Requests that the backend server runs at once.
  std::uint32_t slots_ = 1;
  /// Connections that the backend server accepts.
  std::uint32_t connections_ = 1;
  bool draining_ = false;
  /// Empty where backend servers have no ids.
  BackendId id_;

  friend bool operator==(const Endpoint&, const Endpoint&) = default;
};

/// Ordered by precedence at equal incarnation.
enum class MemberState : std::uint8_t
{
  Alive = 0,
  Suspect = 1,
  Dead = 2,
  Left = 3,
};

/// Returns the state in lower case, such as "suspect".
[[nodiscard]] const char* ToString(MemberState aState) noexcept;

/// What one daemon tells the others of itself.
struct MemberRecord
{
  DaemonId id_;
  Region region_;
  FailureDomain domain_;
  /// UDP and TCP address of control messages.
  Address control_;
  /// TCP address of forwarded requests.
  Address forward_;
  /// Raised by the daemon itself, to refute suspicion and at each restart.
  std::uint64_t incarnation_ = 0;
  /// Raised by the daemon itself when its endpoint changes; compared after the incarnation.
  std::uint64_t sequence_ = 0;
  MemberState state_ = MemberState::Alive;
  /// The daemon is shutting down and takes no new work.
  bool leaving_ = false;
  std::optional<Endpoint> endpoint_;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

} // namespace hemlockproxy::model
