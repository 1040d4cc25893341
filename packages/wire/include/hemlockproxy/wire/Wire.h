#pragma once

/// Umbrella header of the wire package: encoding and decoding of all messages and records.

#include "hemlockproxy/wire/ClaimsCodec.h"
#include "hemlockproxy/wire/ConfigCodec.h"
#include "hemlockproxy/wire/DepartureCodec.h"
#include "hemlockproxy/wire/DistributionCodec.h"
#include "hemlockproxy/wire/MembershipCodec.h"
#include "hemlockproxy/wire/QuarantineCodec.h"
#include "hemlockproxy/wire/ThriftCodec.h"
