#include "backend/BackendFaults.h"

#include <array>

namespace hemlockproxy::testing {

namespace {

using Field = FaultField<BackendFaults>;

const std::array kTable{
  Field{ "match", &BackendFaults::match_, "text: paths that contain it get the faults below" },
  Field{ "match_tag", &BackendFaults::matchTag_, "text: the same by X-Request-Tag" },
  Field{ "next", &BackendFaults::next_, "count: only the next N matching requests; 0 for all" },
  Field{ "stall", &BackendFaults::stall_, "0|1: hold slot and request until cleared" },
  Field{ "cut", &BackendFaults::cut_, "0|1: reset the connection in the middle of the response" },
  Field{ "reset", &BackendFaults::reset_, "0|1: run the request, then reset without a response" },
  Field{ "short_body",
         &BackendFaults::shortBody_,
         "0|1: close after half of the body that Content-Length announces" },
  Field{ "fail", &BackendFaults::fail_, "0|1: respond 500 at once" },
  Field{ "extra_delay_ms", &BackendFaults::extraDelayMs_, "milliseconds added to the work" },
  Field{ "crash_path",
         &BackendFaults::crashPath_,
         "text: end the process while a path that contains it runs; no other filter" },
  Field{ "crash_after_ms", &BackendFaults::crashAfterMs_, "milliseconds before that crash" },
  Field{ "unhealthy", &BackendFaults::unhealthy_, "0|1: GET /health responds 503" },
  Field{ "load_report",
         &BackendFaults::loadReport_,
         "text: in-progress value of Hemlock-Load; empty for the true one" },
  Field{ "load_lag_ms", &BackendFaults::loadLagMs_, "milliseconds a reported load is repeated" },
};

} // namespace

std::span<const FaultField<BackendFaults>> BackendFaultTable() noexcept
{
  return kTable;
}

RequestFaults TakeFaults(BackendFaults& aFaults, const std::string& aPath, const std::string& aTag)
{
  const bool any = aFaults.stall_ || aFaults.cut_ || aFaults.reset_ || aFaults.shortBody_ ||
                   aFaults.fail_ || aFaults.extraDelayMs_ > 0;
  if (!any || aPath.find(aFaults.match_) == std::string::npos ||
      aTag.find(aFaults.matchTag_) == std::string::npos) {
    return {};
  }
  const RequestFaults taken{ aFaults.stall_,     aFaults.cut_,  aFaults.reset_,
                             aFaults.shortBody_, aFaults.fail_, aFaults.extraDelayMs_ };
  if (aFaults.next_ > 0 && --aFaults.next_ == 0) {
    aFaults.stall_ = aFaults.cut_ = aFaults.reset_ = aFaults.shortBody_ = aFaults.fail_ = false;
    aFaults.extraDelayMs_ = 0;
  }
  return taken;
}

} // namespace hemlockproxy::testing
