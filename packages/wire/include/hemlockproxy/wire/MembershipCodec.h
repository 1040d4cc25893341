#pragma once

#include "hemlockproxy/decisions/AllowanceMessages.h"
#include "hemlockproxy/decisions/DistributionMessages.h"
#include "hemlockproxy/decisions/MembershipMessages.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hemlockproxy::wire {

/// The most bytes of a datagram, which fit into one packet on all links.
inline constexpr std::size_t kDatagramBytes = 1200;

/// A message of the UDP control port.
struct ControlDatagram
{
  model::DaemonId from_;
  /// The version that the sender enforces; carried by all datagrams.
  model::ConfigVersion version_;
  model::HybridTimestamp stamp_;
  std::variant<decisions::Datagram,
               decisions::Notice,
               decisions::NoticeAck,
               decisions::LogReport,
               decisions::AllowanceAsk,
               decisions::AllowanceGrant>
    message_;
};

/// Returns the bytes of a membership datagram; its stamp_ is that of sending.
///
/// The ids in it must be IPv4 control addresses.
[[nodiscard]] std::string EncodeDatagram(const decisions::Datagram& aDatagram);

/// Returns the bytes of a notice, an acknowledgement or a report.
[[nodiscard]] std::string EncodeNotice(const decisions::Notice& aNotice,
                                       model::ConfigVersion aEnforced,
                                       model::HybridTimestamp aStamp);
[[nodiscard]] std::string EncodeNoticeAck(const decisions::NoticeAck& aAck,
                                          model::ConfigVersion aEnforced,
                                          model::HybridTimestamp aStamp);

[[nodiscard]] std::string EncodeLogReport(const decisions::LogReport& aReport,
                                          model::ConfigVersion aEnforced,
                                          model::HybridTimestamp aStamp);

/// Returns the bytes of an ask or a grant, in as many datagrams of at most kDatagramBytes as its
/// customers need. One without customers takes one.
[[nodiscard]] std::vector<std::string> EncodeAllowanceAsk(const decisions::AllowanceAsk& aAsk,
                                                          const model::DaemonId& aFrom,
                                                          model::HybridTimestamp aStamp);
[[nodiscard]] std::vector<std::string> EncodeAllowanceGrant(const decisions::AllowanceGrant& aGrant,
                                                            const model::DaemonId& aFrom,
                                                            model::HybridTimestamp aStamp);

/// Reads any datagram of the control port; fails on malformed bytes, unknown states, negative
/// numbers and names that are not listed.
[[nodiscard]] model::Result<ControlDatagram, DecodeError> DecodeDatagram(std::string_view aBytes);

[[nodiscard]] std::string EncodeSyncRequest(const decisions::SyncRequest& aRequest);
[[nodiscard]] model::Result<decisions::SyncRequest, DecodeError> DecodeSyncRequest(
  std::string_view aBytes);

[[nodiscard]] std::string EncodeSyncResponse(const decisions::SyncResponse& aResponse);
[[nodiscard]] model::Result<decisions::SyncResponse, DecodeError> DecodeSyncResponse(
  std::string_view aBytes);

} // namespace hemlockproxy::wire
