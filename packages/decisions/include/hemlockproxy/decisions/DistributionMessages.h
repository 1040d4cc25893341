#pragma once

#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/ConfigRecord.h"

#include <chrono>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace hemlockproxy::decisions {

/// The replay state that belongs to a version. Distribution passes it on without looking inside.
/// Its content_ is left out of messages, since the resources carry it.
using HandoverPtr = std::shared_ptr<const model::CheckpointRecord>;

/// Announces that the sender holds a version.
struct Notice
{
  model::DaemonId from_;
  model::ConfigVersion version_;
  /// Asks for a NoticeAck once the receiver holds the version or a higher one.
  bool ackWanted_ = false;
};

/// Says that the sender holds the version.
struct NoticeAck
{
  model::DaemonId from_;
  model::ConfigVersion version_;
};

/// Tells the own failure domain whether a log reader can read the log; sent at an interval, and
/// when it loses the log.
struct LogReport
{
  model::DaemonId from_;
  /// The highest version that the sender holds.
  model::ConfigVersion version_;
  /// How long ago that was the newest version of the log; nothing while the log cannot be read.
  std::optional<std::chrono::milliseconds> age_;
  /// The highest epoch of the log that the sender knows.
  std::optional<model::LogEpoch> epoch_;
};

/// Asks a peer for the highest version that it holds.
struct FetchRequest
{
  /// Digests of the resources, and of the list of customers, that need not be sent.
  std::vector<model::Digest> held_;
  bool handoverWanted_ = false;
};

/// The highest version that the sender holds; version 0 when it holds none.
struct FetchResponse
{
  model::ConfigVersion version_;
  /// All resources of the version.
  std::vector<std::pair<model::ServiceName, model::Digest>> manifest_;
  /// The resources that the requester lacks.
  std::vector<model::ServiceResourcePtr> resources_;
  /// Set when it was asked for and the sender has it.
  HandoverPtr handover_;
  model::CallerLimits callerLimits_;
  /// The list of customers of the version; nothing where it has none.
  std::optional<model::Digest> customersDigest_;
  /// Null where the requester holds the list already.
  model::CustomerListPtr customers_;
};

} // namespace hemlockproxy::decisions
