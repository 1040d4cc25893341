#include "impl/ServiceFileReader.h"

#include <algorithm>
#include <numeric>

namespace hemlockproxy::model::impl {

namespace {

constexpr std::size_t kMaxQuotedLength = 60;

/// Returns the number of inserted, removed and replaced characters between two texts.
std::size_t EditDistance(std::string_view aLeft, std::string_view aRight)
{
  std::vector<std::size_t> row(aRight.size() + 1);
  std::iota(row.begin(), row.end(), 0);
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    std::size_t diagonal = row[0]++;
    for (std::size_t j = 0; j < aRight.size(); ++j) {
      const std::size_t replaced = diagonal + (aLeft[i] == aRight[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({ replaced, row[j] + 1, row[j + 1] + 1 });
    }
  }
  return row.back();
}

} // namespace

std::string Quote(std::string_view aText)
{
  std::string text = "'";
  for (const char c : aText.substr(0, kMaxQuotedLength)) {
    text += static_cast<unsigned char>(c) < ' ' || c == '\x7f' ? '.' : c;
  }
  return text + (aText.size() > kMaxQuotedLength ? "...'" : "'");
}

std::string_view NearestKey(std::string_view aKey, std::span<const std::string_view> aKnown)
{
  return *std::min_element(
    aKnown.begin(), aKnown.end(), [aKey](std::string_view aLeft, std::string_view aRight) {
      return EditDistance(aKey, aLeft) < EditDistance(aKey, aRight);
    });
}

} // namespace hemlockproxy::model::impl
