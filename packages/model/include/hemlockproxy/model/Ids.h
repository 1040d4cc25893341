#pragma once

#include "hemlockproxy/model/StrongType.h"

namespace hemlockproxy::model {

/// Names a daemon; equals its control address in text form, so it survives a restart on the same
/// address.
using DaemonId = StrongString<struct DaemonIdTag>;
using ServiceName = StrongString<struct ServiceNameTag>;
using FailureDomain = StrongString<struct FailureDomainTag>;
/// Names a customer of the mesh.
using CustomerName = StrongString<struct CustomerNameTag>;
using Region = StrongString<struct RegionTag>;
/// Names one start of a backend server; a restarted one usually has another id.
using BackendId = StrongString<struct BackendIdTag>;
/// Identifies one publish command; a repeated run of the same command carries the same id.
using PublicationId = StrongString<struct PublicationIdTag>;
using IdempotencyKey = StrongString<struct IdempotencyKeyTag>;

/// The count of accepted publish records; 0 means that no configuration was ever accepted.
using ConfigVersion = StrongNumber<struct ConfigVersionTag>;
/// The position of a record in a log stream; the first record of a new stream has offset 0.
using LogOffset = StrongNumber<struct LogOffsetTag>;
/// Rises each time the log is restored from an older copy. Offsets behind that copy are given out
/// again, so that offsets of different epochs are not comparable.
using LogEpoch = StrongNumber<struct LogEpochTag>;

/// The epoch of a log that was never restored; a log that does not tell its epoch has epoch 0.
inline constexpr LogEpoch kFirstLogEpoch{ 1 };

} // namespace hemlockproxy::model
