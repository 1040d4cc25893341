#pragma once

#include "hemlockproxy/daemon/Upstream.h"

namespace hemlockproxy::daemon::impl {

/// Reads the first part of a response's body, before anything of the response is sent on. Returns a
/// refusal with RequestOutcome::Unknown when it fails: the request may then be tried elsewhere.
[[nodiscard]] UpstreamReply WithFirstPart(UpstreamReply aReply);

} // namespace hemlockproxy::daemon::impl
