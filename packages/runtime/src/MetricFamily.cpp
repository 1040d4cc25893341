#include "hemlockproxy/runtime/MetricFamily.h"

#include <algorithm>
#include <limits>
#include <sstream>

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

std::string MetricText(double aValue)
{
  std::ostringstream out;
  out.precision(std::numeric_limits<double>::digits10);
  out << aValue;
  return out.str();
}

double& MetricFamily::Find(Labels aLabels)
{
  if (const auto found = series_.find(aLabels); found != series_.end()) {
    return found->second;
  }
  Key key(aLabels.begin(), aLabels.end());
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
  const auto found = series_.find(aLabels);
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
    aOut << "} " << MetricText(value) << '\n';
  }
}

} // namespace hemlockproxy::runtime
