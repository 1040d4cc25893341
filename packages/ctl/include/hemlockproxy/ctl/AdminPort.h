#pragma once

#include "hemlockproxy/model/Address.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/runtime/FiberLoop.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace hemlockproxy::ctl {

struct AdminError
{
  std::string message_;
};

/// Reads from the admin ports of daemons.
class AdminPort
{
public:
  virtual ~AdminPort() = default;

  /// Returns the body of a 200 response; fails on any other status and without a response.
  [[nodiscard]] virtual model::Result<std::string, AdminError> Get(const model::Address& aAddress,
                                                                   std::string_view aTarget) = 0;
};

/// Returns a client over HTTP. Calls suspend the calling fiber of the loop, for aTimeout at most.
[[nodiscard]] std::unique_ptr<AdminPort> MakeHttpAdmin(runtime::IoContextPtr aIo,
                                                       std::chrono::milliseconds aTimeout);

} // namespace hemlockproxy::ctl
