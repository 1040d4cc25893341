#pragma once

#include "hemlockproxy/ctl/ConfigStream.h"
#include "hemlockproxy/ctl/ExitCode.h"
#include "hemlockproxy/model/ServiceFolder.h"

#include <optional>
#include <string>

namespace hemlockproxy::ctl {

struct PublishOptions
{
  /// Default: the content and the base version decide.
  std::optional<model::PublicationId> id_;
  /// Default: the current version when the command reads the log.
  std::optional<model::ConfigVersion> base_;
  std::string operator_;
};

/// What became of a publish command.
struct PublishReport
{
  ExitCode code_ = ExitCode::Done;
  /// One or more lines for the operator, each with its line end.
  std::string text_;
};

/// Returns the publication id of a command without --id: the same for the same content on the same
/// base, so that a repeated command is recognised.
[[nodiscard]] model::PublicationId DefaultPublicationId(const model::ConfigContent& aContent,
                                                        model::ConfigVersion aBase);

/// Publishes a folder: checks it against the replayed log, appends one record with its base version
/// and reads the log until that record is judged. Nothing is appended when a check fails.
class Publisher
{
public:
  explicit Publisher(runtime::LogPort& aLog)
    : log_(aLog)
    , stream_(aLog)
  {
  }

  [[nodiscard]] PublishReport Run(const model::ServiceFolder& aFolder,
                                  const PublishOptions& aOptions);

private:
  [[nodiscard]] std::optional<PublishReport> FindEarlierOutcome(
    const model::ServiceFolder& aFolder,
    const PublishOptions& aOptions,
    const model::PublishRecord& aRecord) const;
  /// Returns what became of an earlier run with the same content and derived id. Such a run may
  /// have been cut off before it could report, so a repeat must not publish over what others
  /// published since.
  [[nodiscard]] std::optional<std::string> FindEarlierRun(
    const model::ConfigContent& aContent) const;
  [[nodiscard]] PublishReport AppendAndResolve(const model::PublishRecord& aRecord);
  [[nodiscard]] std::optional<PublishReport> FindOwnRecord(
    const model::PublishRecord& aRecord) const;
  [[nodiscard]] PublishReport Accepted(model::ConfigVersion aVersion) const;

  runtime::LogPort& log_;
  ConfigStream stream_;
};

} // namespace hemlockproxy::ctl
