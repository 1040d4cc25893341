// Fetching a configuration version from a peer. Encoded with the compact protocol.
namespace cpp hemlockproxy.wire.gen

include "config.thrift"

struct FetchRequestT {
  // 16 bytes each, big-endian, one after the other.
  1: binary held
  2: bool handover_wanted
}

struct HandoverT {
  1: i64 covered_offset
  2: i64 version
  3: list<config.LimitFloor> floors
  4: list<config.Publication> recent
}

struct CallerLimitsT {
  1: i32 header_bytes
  2: i64 body_bytes
  3: i64 header_timeout_ms
  4: i64 idle_timeout_ms
}

struct FetchResponseT {
  1: i64 version
  2: list<string> names
  // The digest of each name's resource, 16 bytes each, big-endian.
  3: binary digests
  // Encoded as by EncodeResource.
  4: list<binary> resources
  5: optional HandoverT handover
  6: optional CallerLimitsT caller_limits
  // 16 bytes; left out where the configuration lists no customers.
  7: optional binary customers_digest
  // Left out where the requester holds them.
  8: optional list<config.Customer> customers
}
