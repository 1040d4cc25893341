// Records of the log streams "claims-N" and the claim messages between daemons. Compact protocol.
namespace cpp hemlockproxy.wire.gen

// A claim or release is packed into 24 bytes, big endian: key hash (8), attempt id (16). A list of structs would take
// 31 bytes each.
struct ClaimsRecord {
  1: optional binary releases
  2: optional binary claims
}

enum ClaimAction {
  CLAIM = 1
  RELEASE = 2
}

struct ClaimCall {
  1: ClaimAction action
  2: binary entry
  // The number of shards by the sender's settings; a receiver with another number refuses.
  3: i16 shards
  // How long the sender waits for the reply.
  4: i32 wait_ms
}

enum ClaimStatus {
  GRANTED = 1
  DUPLICATE = 2
  UNAVAILABLE = 3
  RELEASED = 4
  NOT_CLAIMED = 5
}

struct ClaimReply {
  1: ClaimStatus status
  // Both set with GRANTED only.
  2: optional i64 read_to
  3: optional i64 appended_ms
}
