#pragma once

#include "hemlockproxy/decisions/MembershipMessages.h"

#include "membership_types.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace hemlockproxy::wire::impl {

/// Converts membership values to Thrift structs and collects the names that they refer to.
class MembershipWriter
{
public:
  [[nodiscard]] gen::RecordT Record(const model::MemberRecord& aRecord);
  [[nodiscard]] gen::ViewT View(const decisions::DomainView& aView);
  [[nodiscard]] std::vector<gen::UpdateT> Updates(const std::vector<decisions::Update>& aUpdates);
  [[nodiscard]] std::int32_t Name(const std::string& aName);
  [[nodiscard]] static std::int64_t Id(const model::DaemonId& aId);
  [[nodiscard]] static std::int64_t Pack(const model::Address& aAddress);
  /// Returns the names in order of their index.
  [[nodiscard]] std::vector<std::string>& Names() noexcept { return names_; }

private:
  std::vector<std::string> names_;
  std::unordered_map<std::string, std::int32_t> indices_;
};

/// Converts Thrift structs to membership values. The first fault is kept; the values that are
/// returned after it mean nothing.
class MembershipReader
{
public:
  explicit MembershipReader(const std::vector<std::string>& aNames)
    : names_(aNames)
  {
  }

  [[nodiscard]] decisions::MemberRecordPtr Record(const gen::RecordT& aRecord);
  [[nodiscard]] decisions::DomainView View(const gen::ViewT& aView);
  [[nodiscard]] std::vector<decisions::Update> Updates(const std::vector<gen::UpdateT>& aUpdates);
  [[nodiscard]] const std::string& Name(std::int32_t aIndex);
  [[nodiscard]] model::DaemonId Id(std::int64_t aPacked);
  [[nodiscard]] model::Address Unpack(std::int64_t aPacked);
  [[nodiscard]] model::MemberState State(std::int8_t aState);
  /// Returns the number, or 0 and a fault when it is negative.
  [[nodiscard]] std::uint64_t Number(std::int64_t aNumber);
  [[nodiscard]] std::uint32_t Small(std::int32_t aNumber);
  void Fail(std::string aFault);
  [[nodiscard]] const std::string& Fault() const noexcept { return fault_; }

private:
  const std::vector<std::string>& names_;
  std::string fault_;
};

} // namespace hemlockproxy::wire::impl
