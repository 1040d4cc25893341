#include "hemlockproxy/daemon/Upstream.h"

#include <boost/algorithm/hex.hpp>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <vector>

namespace hemlockproxy::daemon {

std::chrono::milliseconds TimeLeft(model::TimePoint aDeadline)
{
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
    aDeadline - std::chrono::steady_clock::now());
  return std::max(left, std::chrono::milliseconds(1));
}

std::string ToField(const WorkClass& aClass, model::TimePoint aNow)
{
  const auto left =
    std::chrono::duration_cast<std::chrono::milliseconds>(aClass.target_ - aNow).count();
  return std::to_string(aClass.priority_) + ' ' + std::to_string(left) + ' ' + aClass.label_;
}

WorkClass WorkClassOf(std::string_view aField, model::TimePoint aNow, model::TimePoint aDeadline)
{
  WorkClass work;
  work.target_ = aDeadline;
  const char* const last = aField.data() + aField.size();
  std::uint32_t priority = 0;
  std::int64_t left = 0;
  const auto first = std::from_chars(aField.data(), last, priority);
  if (first.ec != std::errc() || first.ptr == last || *first.ptr != ' ') {
    return work;
  }
  const auto second = std::from_chars(first.ptr + 1, last, left);
  if (second.ec != std::errc() || second.ptr == last || *second.ptr != ' ') {
    return work;
  }
  work.priority_ = priority;
  work.target_ = aNow + std::chrono::milliseconds(left);
  work.label_.assign(second.ptr + 1, last);
  return work;
}

std::string ToHex(std::string_view aBytes)
{
  std::string text;
  boost::algorithm::hex_lower(aBytes.begin(), aBytes.end(), std::back_inserter(text));
  return text;
}

std::string FromHex(std::string_view aText)
{
  try {
    std::string bytes;
    boost::algorithm::unhex(aText.begin(), aText.end(), std::back_inserter(bytes));
    return bytes;
  } catch (const boost::algorithm::hex_decode_error&) {
    return {};
  }
}

model::RefusalReason ParseReason(std::string_view aText)
{
  using model::RefusalReason;
  for (auto value = static_cast<unsigned>(RefusalReason::None);
       value <= static_cast<unsigned>(model::kLastRefusalReason);
       ++value) {
    const auto reason = static_cast<RefusalReason>(value);
    if (aText == ToString(reason)) {
      return reason;
    }
  }
  return RefusalReason::UpstreamFailed;
}

void RemoveHemlockFields(runtime::http::fields& aFields)
{
  constexpr std::string_view kPrefix = "hemlock-";
  std::vector<std::string> names;
  for (const auto& field : aFields) {
    const auto name = field.name_string();
    if (name.size() > kPrefix.size() &&
        boost::beast::iequals(name.substr(0, kPrefix.size()),
                              boost::string_view(kPrefix.data(), kPrefix.size()))) {
      names.emplace_back(name);
    }
  }
  for (const std::string& name : names) {
    aFields.erase(name);
  }
}

} // namespace hemlockproxy::daemon
