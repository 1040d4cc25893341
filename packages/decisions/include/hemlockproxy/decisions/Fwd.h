#pragma once

namespace hemlockproxy::decisions {

class Admission;
class AttemptTimeout;
class BackendRegistry;
class ClaimLedger;
class ClaimResolver;
class ConfigReplay;
class ConnectionBounds;
class Distribution;
class Drain;
class EndpointChooser;
class EndpointPicker;
class EntryGate;
class KeyedRequests;
class LoadScore;
class Membership;
class OutlierEjection;
class Quarantine;
class QueueOrder;
class RetryBudget;
class RetryPolicy;
class RouteIndex;
class ServiceTimeEstimate;
class StatedLimit;
class TokenBucket;
class WeightedSplit;
struct AdmissionOptions;
struct AttemptResult;
struct AttemptTimeoutOptions;
struct ContentError;
struct EndpointChooserOptions;
struct EndpointEntry;
struct Fingerprint;
struct LoweredLimit;
struct QuarantineRecord;
struct ReplayRules;
struct RetryPolicyOptions;
enum class AttemptVerdict : unsigned char;

} // namespace hemlockproxy::decisions
