#pragma once

#include "hemlockproxy/model/ServiceFile.h"

#include <filesystem>
#include <map>
#include <vector>

namespace hemlockproxy::model {

/// The configuration that a folder of service files makes.
struct ServiceFolder
{
  ConfigContent content_;
  std::map<ServiceName, ServiceFile> files_;
};

/// Joins service files into one configuration; fails when a service or a route is declared in two
/// files, or a route's target service in none.
[[nodiscard]] Result<ServiceFolder, FileErrors> CombineServiceFiles(
  const std::vector<ServiceFile>& aFiles);

/// Loads the *.yaml and *.yml files directly in a folder, in the order of their names; hidden files
/// are skipped. Returns the errors of all files; a folder without service files is an error.
[[nodiscard]] Result<ServiceFolder, FileErrors> LoadServiceFolder(
  const std::filesystem::path& aFolder);

} // namespace hemlockproxy::model
