#include "hemlockproxy/runtime/MetricFamily.h"

#include <algorithm>
#include <ostream>

namespace hemlockproxy::runtime {

namespace {

/// Writes a label value with the escapes of the text format.
void WriteEscaped(std::ostream& aOut, std::string_view aValue)
{
  for (const char c : aValue) {
    if (c == '\n') {
      aOut << "\\n";
      continue;
    }
    if (c == '\\' || c == '"') {
      aOut << '\\';
    }
    aOut << c;
  }
}

} // namespace

double& MetricFamily::Find(Labels aLabels)
{
  Key key(aLabels.begin(), aLabels.end());
  if (const auto found = series_.find(key); found != series_.end()) {
    return found->second;
  }
  if (series_.size() >= kMostSeries) {
    std::fill(key.begin(), key.end(), "other");
  }
  return series_[std::move(key)];
}

void MetricFamily::Add(Labels aLabels, double aAmount)
{
  const std::lock_guard lock(mutex_);
  Find(aLabels) += aAmount;
}

void MetricFamily::Set(Labels aLabels, double aValue)
{
  const std::lock_guard lock(mutex_);
  Find(aLabels) = aValue;
}

double MetricFamily::Get(Labels aLabels) const
{
  const std::lock_guard lock(mutex_);
  const auto found = series_.find(Key(aLabels.begin(), aLabels.end()));
  return found == series_.end() ? 0 : found->second;
}

void MetricFamily::Write(std::ostream& aOut,
                         std::string_view aName,
                         const std::vector<std::string_view>& aLabelNames) const
{
  const std::lock_guard lock(mutex_);
  for (const auto& [key, value] : series_) {
    aOut << aName;
    char separator = '{';
    for (std::size_t i = 0; i < key.size() && i < aLabelNames.size(); ++i) {
      aOut << separator << aLabelNames[i] << "=\"";
      WriteEscaped(aOut, key[i]);
      aOut << '"';
      separator = ',';
    }
    aOut << "} " << value << '\n';
  }
}

} // namespace hemlockproxy::runtime
