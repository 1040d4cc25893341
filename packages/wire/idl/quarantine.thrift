// Suspected requests, sent to the owners of the same service after a crash. Encoded with the compact protocol.
namespace cpp hemlockproxy.wire.gen

struct CrashEvidence {
  1: string server
  2: i64 age_ms
}

struct QuarantineRecord {
  // 128-bit fingerprint in two halves.
  1: i64 fingerprint_high
  2: i64 fingerprint_low
  3: list<CrashEvidence> crashes
  4: optional i64 cleared_age_ms
  5: optional i64 rejected_age_ms
  6: i32 rejections
}

struct QuarantineReport {
  1: list<QuarantineRecord> records
}
