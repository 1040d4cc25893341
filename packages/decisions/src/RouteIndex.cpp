#include "hemlockproxy/decisions/RouteIndex.h"

#include <algorithm>
#include <cctype>
#include <functional>

namespace hemlockproxy::decisions {

namespace {

bool Allows(const model::RouteRule& aRule, std::string_view aMethod)
{
  return aRule.methods_.empty() ||
         std::find(aRule.methods_.begin(), aRule.methods_.end(), aMethod) != aRule.methods_.end();
}

} // namespace

std::string NormalizeHost(std::string_view aHost)
{
  std::string host(aHost.substr(0, aHost.find(':')));
  std::transform(host.begin(), host.end(), host.begin(), [](unsigned char aLetter) {
    return static_cast<char>(std::tolower(aLetter));
  });
  return host;
}

RouteIndex::RouteIndex(model::ConfigurationPtr aConfiguration)
  : configuration_(std::move(aConfiguration))
  , customers_(configuration_->customers_)
{
  for (const auto& [name, resource] : configuration_->content_) {
    for (const model::RouteRule& rule : resource->config_.routes_) {
      Host& host = hosts_[NormalizeHost(rule.host_)];
      Rules& rules = host.byPrefix_[rule.prefix_];
      if (rules.empty()) {
        host.lengths_.push_back(rule.prefix_.size());
      }
      rules.push_back(&rule);
    }
  }
  for (auto& [name, host] : hosts_) {
    auto& lengths = host.lengths_;
    std::sort(lengths.begin(), lengths.end(), std::greater<>());
    lengths.erase(std::unique(lengths.begin(), lengths.end()), lengths.end());
  }
}

const model::RouteRule* RouteIndex::Find(std::string_view aHost,
                                         std::string_view aMethod,
                                         std::string_view aPath) const
{
  for (const std::string& name : { NormalizeHost(aHost), std::string() }) {
    if (const auto host = hosts_.find(name); host != hosts_.end()) {
      if (const model::RouteRule* rule = FindIn(host->second, aMethod, aPath)) {
        return rule;
      }
    }
  }
  return nullptr;
}

const model::RouteRule* RouteIndex::FindIn(const Host& aHost,
                                           std::string_view aMethod,
                                           std::string_view aPath)
{
  for (const std::size_t length : aHost.lengths_) {
    if (length > aPath.size()) {
      continue;
    }
    const auto found = aHost.byPrefix_.find(aPath.substr(0, length));
    if (found == aHost.byPrefix_.end()) {
      continue;
    }
    for (const model::RouteRule* rule : found->second) {
      if (Allows(*rule, aMethod)) {
        return rule;
      }
    }
  }
  return nullptr;
}

} // namespace hemlockproxy::decisions
