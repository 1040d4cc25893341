#pragma once

#include "hemlockproxy/model/Ids.h"

#include <cstddef>
#include <unordered_map>

namespace hemlockproxy::decisions {

struct EntryGateOptions
{
  /// Requests that the entry holds at once for all services together.
  std::size_t capacity_ = 4096;
  /// A service may hold this many times what is still free. With 1, one busy service leaves half of
  /// the capacity free, and two busy ones leave a third.
  double shareOfFree_ = 1;
};

/// Bounds the requests that an entry holds, so that callers of one slow service cannot use up the
/// entry's memory and connections (dynamic threshold by what is free).
///
///     if (!gate.Enter(service)) { return RefusalReason::QueueFull; }
///     ...
///     gate.Leave(service);
class EntryGate
{
public:
  explicit EntryGate(EntryGateOptions aOptions) noexcept
    : options_(aOptions)
  {
  }

  /// Takes one place for a request to aService; returns false if the service holds its share.
  [[nodiscard]] bool Enter(const model::ServiceName& aService);
  /// Returns a place that Enter granted.
  void Leave(const model::ServiceName& aService);

  [[nodiscard]] std::size_t Held() const noexcept { return held_; }
  [[nodiscard]] std::size_t Held(const model::ServiceName& aService) const;

private:
  EntryGateOptions options_;
  std::size_t held_ = 0;
  std::unordered_map<model::ServiceName, std::size_t> byService_;
};

} // namespace hemlockproxy::decisions
