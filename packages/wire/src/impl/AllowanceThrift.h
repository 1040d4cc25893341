#pragma once

#include "hemlockproxy/decisions/AllowanceMessages.h"

#include "membership_types.h"

#include <optional>

namespace hemlockproxy::wire::impl {

/// Read the bodies of allowance datagrams; nothing when a level, number or share is out of range.
[[nodiscard]] std::optional<decisions::AllowanceAsk> ReadAsk(const gen::AllowanceAskT& aBody);
[[nodiscard]] std::optional<decisions::AllowanceGrant> ReadGrant(const gen::AllowanceGrantT& aBody);

} // namespace hemlockproxy::wire::impl
