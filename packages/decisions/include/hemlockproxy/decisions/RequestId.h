#pragma once

#include "hemlockproxy/model/StrongType.h"

namespace hemlockproxy::decisions {

/// Identifies a request within one daemon; never reused while the process lives.
using RequestId = model::StrongNumber<struct RequestIdTag>;

} // namespace hemlockproxy::decisions
