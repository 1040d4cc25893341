#include "hemlockproxy/model/ServiceFile.h"

#include "impl/ServiceFileReader.h"

#include <algorithm>
#include <fstream>
#include <tuple>
#include <yaml-cpp/yaml.h>

namespace hemlockproxy::model {

namespace {

/// Large enough for several hundred routes; a larger file is most likely not a service file.
constexpr std::uintmax_t kMaxFileBytes = 262'144;

FileErrors OneError(const std::string& aPath, std::string aFound, std::string aExpected)
{
  return { FileError{ SourcePosition{ aPath }, std::move(aFound), std::move(aExpected) } };
}

void SortByPosition(FileErrors& aErrors)
{
  std::stable_sort(
    aErrors.begin(), aErrors.end(), [](const FileError& aLeft, const FileError& aRight) {
      return std::tie(aLeft.position_.line_, aLeft.position_.column_) <
             std::tie(aRight.position_.line_, aRight.position_.column_);
    });
}

} // namespace

std::string ToString(const FileError& aError)
{
  return ToString(aError.position_) + ": found " + aError.found_ + "; expected " + aError.expected_;
}

Result<ServiceFile, FileErrors> ParseServiceFile(const std::string& aPath, std::string_view aText)
{
  impl::ServiceFileReader reader(aPath);
  try {
    reader.ReadDocuments(YAML::LoadAll(std::string(aText)));
  } catch (const YAML::Exception& error) {
    reader.AddError(error.mark, "a YAML syntax error (" + error.msg + ")", "well-formed YAML");
  }
  if (!reader.Errors().empty()) {
    FileErrors errors = reader.Errors();
    SortByPosition(errors);
    return errors;
  }
  return reader.File();
}

Result<ServiceFile, FileErrors> LoadServiceFile(const std::filesystem::path& aPath)
{
  std::error_code failure;
  const std::uintmax_t size = std::filesystem::file_size(aPath, failure);
  if (failure) {
    return OneError(aPath.string(), failure.message(), "a readable file");
  }
  if (size > kMaxFileBytes) {
    return OneError(aPath.string(),
                    std::to_string(size) + " bytes",
                    "at most " + std::to_string(kMaxFileBytes) + " bytes");
  }
  std::ifstream stream(aPath, std::ios::binary);
  std::string text(static_cast<std::size_t>(size), '\0');
  if (!stream.read(text.data(), static_cast<std::streamsize>(size))) {
    return OneError(aPath.string(), "a read error", "a readable file");
  }
  return ParseServiceFile(aPath.string(), text);
}

} // namespace hemlockproxy::model
