#pragma once

#include "hemlockproxy/decisions/DistributionMessages.h"
#include "hemlockproxy/decisions/MembershipMessages.h"
#include "hemlockproxy/wire/ThriftCodec.h"

#include <string>
#include <string_view>
#include <variant>

namespace hemlockproxy::wire {

/// A message of the UDP control port.
struct ControlDatagram
{
  model::DaemonId from_;
  /// The version that the sender enforces; carried by all datagrams.
  model::ConfigVersion version_;
  model::HybridTimestamp stamp_;
  std::variant<decisions::Datagram, decisions::Notice, decisions::NoticeAck, decisions::LogReport>
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
