#include "hemlockproxy/model/ServiceFolder.h"

#include "hemlockproxy/model/ConfigBounds.h"

#include <algorithm>
#include <iterator>

namespace hemlockproxy::model {

namespace {

struct DeclaredRoute
{
  const RouteRule* rule_ = nullptr;
  const SourcePosition* position_ = nullptr;
};

void Append(FileErrors& aErrors, const FileErrors& aMore)
{
  aErrors.insert(aErrors.end(), aMore.begin(), aMore.end());
}

/// Reports routes of different files that match the same requests. Within one file the parser has
/// already reported them.
FileErrors FindSharedRoutes(const std::map<ServiceName, ServiceFile>& aFiles)
{
  FileErrors errors;
  std::multimap<std::string_view, DeclaredRoute> declared;
  for (const auto& [name, file] : aFiles) {
    const std::vector<RouteRule>& routes = file.config_.routes_;
    for (std::size_t i = 0; i < routes.size(); ++i) {
      const auto [begin, end] = declared.equal_range(routes[i].prefix_);
      const auto other = std::find_if(begin, end, [&routes, i](const auto& aEntry) {
        return RoutesOverlap(*aEntry.second.rule_, routes[i]);
      });
      if (other != end) {
        errors.push_back(FileError{ file.routes_[i].prefix_,
                                    "route '" + routes[i].prefix_ + "', declared in another file",
                                    "each prefix and method in one file (first at " +
                                      ToString(*other->second.position_) + ")" });
      }
    }
    for (std::size_t i = 0; i < routes.size(); ++i) {
      declared.emplace(routes[i].prefix_, DeclaredRoute{ &routes[i], &file.routes_[i].prefix_ });
    }
  }
  return errors;
}

FileErrors FindMissingTargets(const std::map<ServiceName, ServiceFile>& aFiles)
{
  FileErrors errors;
  for (const auto& [name, file] : aFiles) {
    for (std::size_t i = 0; i < file.config_.routes_.size(); ++i) {
      const ServiceName& target = file.config_.routes_[i].target_;
      if (!aFiles.contains(target)) {
        errors.push_back(FileError{ file.routes_[i].target_,
                                    "target service '" + target.Value() + "', which is in no file",
                                    "the name of a service with a file in the same folder" });
      }
    }
  }
  return errors;
}

FileErrors AddFiles(const std::vector<ServiceFile>& aFiles, ServiceFolder& aFolder)
{
  FileErrors errors;
  for (const ServiceFile& file : aFiles) {
    const ServiceName& name = file.config_.name_;
    const auto [entry, added] = aFolder.files_.emplace(name, file);
    if (added) {
      aFolder.content_[name] = MakeResource(file.config_);
    } else {
      errors.push_back(FileError{ file.position_,
                                  "service '" + name.Value() + "' a second time",
                                  "one file for each service (first at " +
                                    ToString(entry->second.position_) + ")" });
    }
  }
  return errors;
}

bool IsServiceFilePath(const std::filesystem::path& aPath)
{
  const std::string name = aPath.filename().string();
  const std::string extension = aPath.extension().string();
  return !name.starts_with('.') && (extension == ".yaml" || extension == ".yml");
}

} // namespace

Result<ServiceFolder, FileErrors> CombineServiceFiles(const std::vector<ServiceFile>& aFiles)
{
  ServiceFolder folder;
  FileErrors errors = AddFiles(aFiles, folder);
  Append(errors, FindSharedRoutes(folder.files_));
  Append(errors, FindMissingTargets(folder.files_));
  if (!errors.empty()) {
    return errors;
  }
  return folder;
}

Result<ServiceFolder, FileErrors> LoadServiceFolder(const std::filesystem::path& aFolder)
{
  std::error_code failure;
  std::vector<std::filesystem::path> paths;
  for (std::filesystem::directory_iterator entry(aFolder, failure), end; !failure && entry != end;
       entry.increment(failure)) {
    if (IsServiceFilePath(entry->path())) {
      paths.push_back(entry->path());
    }
  }
  if (failure) {
    return FileErrors{ FileError{
      SourcePosition{ aFolder.string() }, failure.message(), "a readable folder" } };
  }
  if (paths.empty()) {
    // An empty configuration would remove every service; a mistyped folder must not do so.
    return FileErrors{ FileError{ SourcePosition{ aFolder.string() },
                                  "no service file",
                                  "at least one file named *.yaml or *.yml" } };
  }
  std::sort(paths.begin(), paths.end());
  std::vector<ServiceFile> files;
  FileErrors errors;
  for (const std::filesystem::path& path : paths) {
    auto file = LoadServiceFile(path);
    if (file) {
      files.push_back(std::move(*file));
    } else {
      Append(errors, file.Error());
    }
  }
  // With a file missing from the set, routes to its service would be reported as errors too.
  return errors.empty() ? CombineServiceFiles(files) : errors;
}

} // namespace hemlockproxy::model
