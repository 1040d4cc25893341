#pragma once

#include <algorithm>
#include <cstddef>
#include <initializer_list>
#include <iosfwd>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace hemlockproxy::runtime {

/// Returns a value as text; whole numbers below 10^15 keep all their digits.
[[nodiscard]] std::string MetricText(double aValue);

/// Values of one metric, told apart by labels. All functions may be called from any thread.
class MetricFamily
{
public:
  /// Bounds the memory and the size of a page: further label values are counted together, with each
  /// label "other".
  static constexpr std::size_t kMostSeries = 2048;

  using Labels = std::initializer_list<std::string_view>;

  /// Adds to the value of a series; the labels are in the order of the family's label names.
  void Add(Labels aLabels, double aAmount);
  void Set(Labels aLabels, double aValue);
  /// Returns the value of a series, 0 when there is none.
  [[nodiscard]] double Get(Labels aLabels) const;

  /// Writes a line for each series in the Prometheus text format.
  void Write(std::ostream& aOut,
             std::string_view aName,
             const std::vector<std::string_view>& aLabelNames) const;

private:
  using Key = std::vector<std::string>;

  /// Compares keys with labels, so that a series is found without a copy of its labels.
  struct LessKey
  {
    using is_transparent = void;

    template <typename Left, typename Right>
    bool operator()(const Left& aLeft, const Right& aRight) const noexcept
    {
      return std::lexicographical_compare(aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end());
    }
  };

  [[nodiscard]] double& Find(Labels aLabels);

  mutable std::mutex mutex_;
  std::map<Key, double, LessKey> series_;
};

} // namespace hemlockproxy::runtime
