#pragma once

#include <cassert>
#include <utility>
#include <variant>

namespace hemlockproxy::model {

/// A value of type T or an error of type E; T and E must differ.
///
///     Result<int, ParseError> parsed = ParsePort("8080");
///     if (!parsed) { return parsed.Error(); }
///     Use(*parsed);
template <typename T, typename E>
class [[nodiscard]] Result
{
public:
  using ValueType = T;
  using ErrorType = E;

  Result(T aValue)
    : state_(std::in_place_index<0>, std::move(aValue))
  {
  }
  Result(E aError)
    : state_(std::in_place_index<1>, std::move(aError))
  {
  }

  /// Returns whether a value is held.
  [[nodiscard]] bool Ok() const noexcept { return state_.index() == 0; }
  [[nodiscard]] explicit operator bool() const noexcept { return Ok(); }

  /// Returns the value; calling it on an error is a programming fault.
  [[nodiscard]] const T& Value() const& noexcept
  {
    assert(Ok());
    return *std::get_if<0>(&state_);
  }
  [[nodiscard]] T& Value() & noexcept
  {
    assert(Ok());
    return *std::get_if<0>(&state_);
  }
  [[nodiscard]] T&& Value() && noexcept
  {
    assert(Ok());
    return std::move(*std::get_if<0>(&state_));
  }

  [[nodiscard]] const T& operator*() const& noexcept { return Value(); }
  [[nodiscard]] T& operator*() & noexcept { return Value(); }
  [[nodiscard]] T&& operator*() && noexcept { return std::move(*this).Value(); }
  [[nodiscard]] const T* operator->() const noexcept { return &Value(); }
  [[nodiscard]] T* operator->() noexcept { return &Value(); }

  /// Returns the error; calling it on a value is a programming fault.
  [[nodiscard]] const E& Error() const noexcept
  {
    assert(!Ok());
    return *std::get_if<1>(&state_);
  }

private:
  std::variant<T, E> state_;
};

/// The value type of a Result that carries no value.
using Unit = std::monostate;

} // namespace hemlockproxy::model
