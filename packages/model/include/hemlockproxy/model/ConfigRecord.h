#pragma once

#include "hemlockproxy/model/Config.h"

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hemlockproxy::model {

/// The highest value ever accepted for each limit; it outlives removal of the limit or of the
/// service.
using LimitFloors = std::map<std::pair<ServiceName, LimitKind>, std::uint64_t>;

/// A publish command as appended to the config stream.
struct PublishRecord
{
  PublicationId id_;
  /// The version that the operator's files were checked against.
  ConfigVersion base_;
  std::string operator_;
  ConfigContent content_;
};

/// All state that replay needs, as of the record at offset covered_.
struct CheckpointRecord
{
  LogOffset covered_;
  ConfigVersion version_;
  ConfigContent content_;
  LimitFloors floors_;
  /// Publication ids that were accepted, oldest first, bounded by kRecentPublications.
  std::vector<std::pair<PublicationId, ConfigVersion>> recent_;
};

/// How many accepted publication ids replay remembers.
inline constexpr std::size_t kRecentPublications = 1024;

/// A record of the config stream.
using ConfigRecord = std::variant<PublishRecord, CheckpointRecord>;

} // namespace hemlockproxy::model
