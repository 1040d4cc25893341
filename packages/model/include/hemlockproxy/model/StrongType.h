#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace hemlockproxy::model {

/// A string that is not interchangeable with strings of another meaning.
template <typename Tag>
class StrongString
{
public:
  StrongString() = default;
  explicit StrongString(std::string aValue)
    : value_(std::move(aValue))
  {
  }

  [[nodiscard]] const std::string& Value() const noexcept { return value_; }
  [[nodiscard]] bool Empty() const noexcept { return value_.empty(); }

  friend auto operator<=>(const StrongString&, const StrongString&) = default;
  friend bool operator==(const StrongString&, const StrongString&) = default;

private:
  std::string value_;
};

/// An unsigned number that is not interchangeable with numbers of another meaning.
template <typename Tag>
class StrongNumber
{
public:
  constexpr StrongNumber() = default;
  constexpr explicit StrongNumber(std::uint64_t aValue) noexcept
    : value_(aValue)
  {
  }

  [[nodiscard]] constexpr std::uint64_t Value() const noexcept { return value_; }
  /// Returns the number that follows this one.
  [[nodiscard]] constexpr StrongNumber Next() const noexcept { return StrongNumber(value_ + 1); }

  friend constexpr auto operator<=>(const StrongNumber&, const StrongNumber&) = default;
  friend constexpr bool operator==(const StrongNumber&, const StrongNumber&) = default;

private:
  std::uint64_t value_ = 0;
};

} // namespace hemlockproxy::model

template <typename Tag>
struct std::hash<hemlockproxy::model::StrongString<Tag>>
{
  std::size_t operator()(const hemlockproxy::model::StrongString<Tag>& aValue) const noexcept
  {
    return std::hash<std::string>()(aValue.Value());
  }
};

template <typename Tag>
struct std::hash<hemlockproxy::model::StrongNumber<Tag>>
{
  std::size_t operator()(const hemlockproxy::model::StrongNumber<Tag>& aValue) const noexcept
  {
    return std::hash<std::uint64_t>()(aValue.Value());
  }
};
