#pragma once

#include "hemlockproxy/model/Config.h"
#include "hemlockproxy/model/Result.h"
#include "hemlockproxy/model/SourcePosition.h"

#include <filesystem>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::model {

/// One fault in a service file.
struct FileError
{
  SourcePosition position_;
  /// What stands at the position, such as "unknown key 'metods'".
  std::string found_;
  /// What may stand there, such as "methods".
  std::string expected_;
};

using FileErrors = std::vector<FileError>;

/// Returns "path:line:column: found X; expected Y".
[[nodiscard]] std::string ToString(const FileError& aError);

/// Where a route stands in its file.
struct RoutePosition
{
  SourcePosition prefix_;
  /// The target key's value, or the route where the target is the service itself.
  SourcePosition target_;
};

/// A service's configuration with the places that later checks refer to.
struct ServiceFile
{
  ServiceConfig config_;
  /// The value of the key "service".
  SourcePosition position_;
  /// One entry for each limit in config_.
  std::map<LimitKind, SourcePosition> limits_;
  /// In the order of config_.routes_.
  std::vector<RoutePosition> routes_;
};

/// Parses one service file (docs/configuration.md); the path is used in positions only.
/// Returns all errors of the file, in the order of their positions.
///
///     auto file = ParseServiceFile("archivo.yaml", "service: archivo\n");
[[nodiscard]] Result<ServiceFile, FileErrors> ParseServiceFile(const std::string& aPath,
                                                               std::string_view aText);

/// Reads and parses one service file; a file that cannot be read or exceeds 256 KiB is an error.
[[nodiscard]] Result<ServiceFile, FileErrors> LoadServiceFile(const std::filesystem::path& aPath);

} // namespace hemlockproxy::model
