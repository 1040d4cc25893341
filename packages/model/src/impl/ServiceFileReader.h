#pragma once

#include "hemlockproxy/model/ServiceFile.h"

#include <array>
#include <set>
#include <span>
#include <string_view>
#include <yaml-cpp/yaml.h>

namespace hemlockproxy::model::impl {

/// Walks the YAML nodes of one service file and collects its content, positions and errors.
class ServiceFileReader
{
public:
  explicit ServiceFileReader(std::string aPath)
    : path_(std::move(aPath))
  {
  }

  void ReadDocuments(const std::vector<YAML::Node>& aDocuments);
  void AddError(const YAML::Mark& aMark, std::string aFound, std::string aExpected);

  [[nodiscard]] const FileErrors& Errors() const noexcept { return errors_; }
  [[nodiscard]] const ServiceFile& File() const noexcept { return file_; }

private:
  /// One route as read so far.
  struct RouteDraft
  {
    RouteRule rule_;
    RoutePosition position_;
  };

  /// Names a key and the member function that reads its value into a target.
  template <typename Target>
  struct KeyRule
  {
    std::string_view key_;
    void (ServiceFileReader::*read_)(const YAML::Node&, Target&);
  };

  template <typename Target>
  std::set<std::string> ReadMap(const YAML::Node& aNode,
                                std::string_view aWhat,
                                std::span<const KeyRule<Target>> aRules,
                                Target& aTarget);

  void ReadService(const YAML::Node& aNode, ServiceFile& aFile);
  void ReadRoutes(const YAML::Node& aNode, ServiceFile& aFile);
  void ReadLimits(const YAML::Node& aNode, ServiceFile& aFile);
  void ReadRetries(const YAML::Node& aNode, ServiceFile& aFile);

  void ReadRoute(const YAML::Node& aNode, ServiceFile& aFile);
  void ReadPrefix(const YAML::Node& aNode, RouteDraft& aRoute);
  void ReadMethods(const YAML::Node& aNode, RouteDraft& aRoute);
  void ReadTarget(const YAML::Node& aNode, RouteDraft& aRoute);
  void ReadRepeatable(const YAML::Node& aNode, RouteDraft& aRoute);
  void ReadIdempotencyKey(const YAML::Node& aNode, RouteDraft& aRoute);
  void ReadTimeout(const YAML::Node& aNode, RouteDraft& aRoute);

  template <LimitKind Kind>
  void ReadLimit(const YAML::Node& aNode, ServiceFile& aFile);

  void ReadAttempts(const YAML::Node& aNode, RetryRule& aRule);
  void ReadBudgetPercent(const YAML::Node& aNode, RetryRule& aRule);

  void CheckDuplicateRoutes();
  void FillDefaultTargets();

  [[nodiscard]] SourcePosition Position(const YAML::Mark& aMark) const;
  std::optional<std::uint64_t> ReadNumber(const YAML::Node& aNode,
                                          std::uint64_t aMin,
                                          std::uint64_t aMax);

  std::string path_;
  ServiceFile file_;
  FileErrors errors_;
};

/// Returns the text in quotes, with control characters replaced and long texts cut.
[[nodiscard]] std::string Quote(std::string_view aText);

/// Returns the known key with the smallest edit distance.
[[nodiscard]] std::string_view NearestKey(std::string_view aKey,
                                          std::span<const std::string_view> aKnown);

} // namespace hemlockproxy::model::impl
