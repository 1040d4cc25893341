#include "hemlockproxy/runtime/Metrics.h"

#include <boost/histogram.hpp>

#include <sstream>

namespace hemlockproxy::runtime {

namespace {

namespace bh = boost::histogram;

struct MetricInfo
{
  const char* name_;
  const char* help_;
};

constexpr std::array<MetricInfo, static_cast<std::size_t>(Counter::Count)> kCounters = { {
  { "requests_answered_total", "Requests whose whole response was delivered." },
  { "requests_not_run_total", "Requests rejected before the backend server received a byte." },
  { "requests_unknown_total", "Requests that failed after the backend server may have run them." },
  { "requests_forwarded_total", "Attempts sent to another daemon." },
  { "requests_owned_total", "Attempts run by this instance's backend server." },
  { "retries_total", "Attempts after the first." },
  { "second_attempts_total", "Attempts started beside one that went without a response." },
  { "responses_resumed_total", "Responses continued from another endpoint." },
  { "responses_truncated_total",
    "Responses that ended before their length; the caller's connection was closed." },
  { "claims_granted_total", "Idempotency keys claimed." },
  { "claims_duplicate_total", "Idempotency keys found claimed before." },
  { "claims_unavailable_total", "Requests rejected because no claim could be made." },
  { "control_bytes_sent_total", "Control bytes sent, with 28 bytes per datagram." },
  { "control_bytes_received_total", "Control bytes received, with 28 bytes per datagram." },
  { "control_bytes_cross_domain_total", "Control bytes to and from other failure domains." },
  { "control_messages_sent_total", "Control messages sent." },
  { "control_messages_received_total", "Control messages received." },
  { "log_reads_total", "Reads of the log service." },
  { "log_appends_total", "Appends to the log service." },
  { "log_errors_total", "Failed reads and appends." },
  { "log_records_skipped_total", "Records of the log that could not be read." },
  { "handlers_failed_total", "Requests and messages that ended with an unexpected exception." },
  { "versions_enforced_total", "Configuration versions enforced." },
  { "backend_loads_invalid_total",
    "Load reports of the own backend server with an invalid figure, which was ignored." },
  { "requests_hung_total",
    "Requests given up because the backend server took far longer than for others of their kind." },
} };

constexpr std::array<MetricInfo, static_cast<std::size_t>(Gauge::Count)> kGauges = { {
  { "config_version", "Configuration version in effect." },
  { "members_alive", "Live members of the own failure domain." },
  { "endpoints_known", "Endpoints of all failure domains." },
  { "requests_in_progress", "Requests in progress at this entry." },
  { "ready", "1 when the daemon serves requests." },
  { "config_enforced_at_seconds", "Unix time at which the version in effect was enforced." },
  { "config_held_version", "Highest configuration version held, in effect or not." },
  { "log_reader", "1 when this daemon reads the log for its failure domain." },
  { "log_epoch", "Epoch of the log; rises when the log is restored from an older copy." },
  { "config_unconfirmed_milliseconds",
    "Time since the version in effect was last known to be the newest one." },
  { "peers_silent", "Other daemons that do not answer this entry." },
  { "owner_running", "Requests that the own backend server runs." },
  { "owner_queued", "Requests that wait for the own backend server." },
  { "owner_slots", "Requests that the own backend server may run at once." },
  { "owner_service_microseconds", "Mean service time of the own backend server." },
  { "owner_request_limit",
    "Requests per second that the own backend server says it takes, rounded up; 0 without a "
    "limit." },
} };

struct FamilyInfo
{
  MetricInfo info_;
  const char* type_;
  std::vector<std::string_view> labels_;
};

const std::array<FamilyInfo, static_cast<std::size_t>(Family::Count)>& Families()
{
  static const std::array<FamilyInfo, static_cast<std::size_t>(Family::Count)> kFamilies = { {
    { { "entry_requests_total", "How callers' requests ended." },
      "counter",
      { "route", "service", "outcome", "reason" } },
    { { "entry_attempts_total", "How attempts to run requests ended." },
      "counter",
      { "service", "outcome", "reason" } },
    { { "owner_requests_total", "How requests for the own backend server ended." },
      "counter",
      { "priority", "outcome", "reason" } },
    { { "retries_left", "Retries that the budget of this entry allows now." },
      "gauge",
      { "service" } },
    { { "log_calls_total", "Calls of the log." }, "counter", { "call", "result" } },
    { { "connections_opened_total", "Connections made, and why no idle one was used." },
      "counter",
      { "peer", "why" } },
    { { "callers_left_total", "Callers that left before their answer." },
      "counter",
      { "part", "stage" } },
    { { "members", "Members of the own failure domain." }, "gauge", { "state" } },
    { { "log_lines_dropped_total", "Lines of the structured log that were dropped." },
      "counter",
      { "class" } },
    { { "connections_bounded_total",
        "Connections and requests that a bound of the process refused or dropped." },
      "counter",
      { "bound", "what" } },
    { { "allowance_per_second", "Requests per second of customers' allowances." },
      "gauge",
      { "customer", "part" } },
    { { "allowance_requests", "Requests of customers with allowances since the start." },
      "gauge",
      { "customer", "result" } },
  } };
  return kFamilies;
}

constexpr std::array<MetricInfo, static_cast<std::size_t>(Timing::Count)> kTimings = { {
  { "entry_request_seconds", "Time from the request header until the response is delivered." },
  { "backend_response_seconds", "Time from admission until the backend server's response header." },
  { "queue_wait_seconds", "Time in the owner's queue." },
  { "convergence_seconds", "Time from a publish record's append until its version is enforced." },
  { "log_call_seconds", "Time of a call of the log, with the wait of a read." },
  { "traffic_delay_seconds", "How late the traffic thread runs its timer." },
} };

/// Bounds of the histograms in microseconds; logarithmic bins in between.
constexpr double kLeastMicros = 10;
constexpr double kMostMicros = 100'000'000;
constexpr unsigned kBins = 35;

using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Cell = bh::accumulators::thread_safe<std::uint64_t>;
using Histogram = bh::histogram<std::tuple<LogAxis>, bh::dense_storage<Cell>>;

Histogram MakeHistogram()
{
  return bh::make_histogram_with(bh::dense_storage<Cell>(),
                                 LogAxis(kBins, kLeastMicros, kMostMicros));
}

constexpr double kMicrosPerSecond = 1e6;

} // namespace

struct Metrics::Histograms
{
  std::array<Histogram, static_cast<std::size_t>(Timing::Count)> cells_ = {
    MakeHistogram(), MakeHistogram(), MakeHistogram(),
    MakeHistogram(), MakeHistogram(), MakeHistogram()
  };
  std::array<std::atomic<std::uint64_t>, static_cast<std::size_t>(Timing::Count)> sumMicros_{};
};

Metrics::Metrics()
  : histograms_(std::make_unique<Histograms>())
{
}

Metrics::~Metrics() = default;

void Metrics::Record(Timing aTiming, std::chrono::nanoseconds aDuration)
{
  const auto index = static_cast<std::size_t>(aTiming);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  histograms_->cells_[index](static_cast<double>(micros));
  histograms_->sumMicros_[index].fetch_add(static_cast<std::uint64_t>(micros),
                                           std::memory_order_relaxed);
}

std::string Metrics::PrometheusText() const
{
  std::ostringstream out;
  const auto head = [&out](const MetricInfo& aInfo, const char* aType) {
    out << "# HELP hemlockproxy_" << aInfo.name_ << ' ' << aInfo.help_ << "\n# TYPE hemlockproxy_"
        << aInfo.name_ << ' ' << aType << '\n';
  };
  for (std::size_t i = 0; i < kCounters.size(); ++i) {
    head(kCounters[i], "counter");
    out << "hemlockproxy_" << kCounters[i].name_ << ' ' << counters_[i].load() << '\n';
  }
  for (std::size_t i = 0; i < kGauges.size(); ++i) {
    head(kGauges[i], "gauge");
    out << "hemlockproxy_" << kGauges[i].name_ << ' ' << gauges_[i].load() << '\n';
  }
  for (std::size_t i = 0; i < families_.size(); ++i) {
    const FamilyInfo& family = Families()[i];
    head(family.info_, family.type_);
    families_[i].Write(out, std::string("hemlockproxy_") + family.info_.name_, family.labels_);
  }
  for (std::size_t i = 0; i < kTimings.size(); ++i) {
    head(kTimings[i], "histogram");
    std::uint64_t total = 0;
    for (const auto& cell : bh::indexed(histograms_->cells_[i], bh::coverage::all)) {
      total += static_cast<std::uint64_t>(*cell);
      const double upper = cell.bin().upper();
      out << "hemlockproxy_" << kTimings[i].name_ << "_bucket{le=\"";
      if (upper > kMostMicros) {
        out << "+Inf";
      } else {
        out << upper / kMicrosPerSecond;
      }
      out << "\"} " << total << '\n';
    }
    out << "hemlockproxy_" << kTimings[i].name_ << "_sum "
        << MetricText(static_cast<double>(histograms_->sumMicros_[i].load()) / kMicrosPerSecond)
        << '\n'
        << "hemlockproxy_" << kTimings[i].name_ << "_count " << total << '\n';
  }
  return out.str();
}

} // namespace hemlockproxy::runtime
