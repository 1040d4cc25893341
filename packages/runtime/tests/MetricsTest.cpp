#include "hemlockproxy/runtime/Metrics.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace hemlockproxy::runtime;

TEST_GROUP(Metrics){};

TEST(Metrics, TellsValuesApartByTheirLabels)
{
  Metrics metrics;
  metrics.Add(Family::EntryRequests, { "r-1", "bitacora", "not-run", "queue-full" });
  metrics.Add(Family::EntryRequests, { "r-1", "bitacora", "not-run", "queue-full" });
  metrics.Add(Family::EntryRequests, { "r-1", "bitacora", "answered", "none" });
  metrics.Set(Family::Members, { "alive" }, 7);
  metrics.Set(Family::Members, { "alive" }, 5);
  const std::string text = metrics.PrometheusText();
  CHECK_TRUE(text.find("hemlockproxy_entry_requests_total{route=\"r-1\",service=\"bitacora\","
                       "outcome=\"not-run\",reason=\"queue-full\"} 2\n") != std::string::npos);
  CHECK_TRUE(text.find("outcome=\"answered\",reason=\"none\"} 1\n") != std::string::npos);
  CHECK_TRUE(text.find("# TYPE hemlockproxy_members gauge\n"
                       "hemlockproxy_members{state=\"alive\"} 5\n") != std::string::npos);
}

// Guards against a label value, such as a route's name, that breaks the page.
TEST(Metrics, EscapesLabelValues)
{
  MetricFamily family;
  family.Add({ "a\"b\\c\nd" }, 1);
  std::ostringstream out;
  family.Write(out, "name", { "label" });
  STRCMP_EQUAL("name{label=\"a\\\"b\\\\c\\nd\"} 1\n", out.str().c_str());
}

// Guards against a counter that seems to stand still for a thousand requests once it has passed a
// million.
TEST(Metrics, WritesLargeCountsToTheLastDigit)
{
  MetricFamily family;
  family.Add({ "a" }, 1);
  family.Set({ "a" }, 123456789012);
  family.Add({ "a" }, 1);
  std::ostringstream out;
  family.Write(out, "name", { "label" });
  STRCMP_EQUAL("name{label=\"a\"} 123456789013\n", out.str().c_str());
}

// Guards against the same fault in the time that a histogram adds up.
TEST(Metrics, WritesLongTimesToTheMillisecond)
{
  Metrics metrics;
  metrics.Record(Timing::EntryRequest, std::chrono::seconds(1234567));
  metrics.Record(Timing::EntryRequest, std::chrono::milliseconds(5));
  CHECK_TRUE(metrics.PrometheusText().find("entry_request_seconds_sum 1234567.005\n") !=
             std::string::npos);
}

// Guards against memory that grows with each route that ever was.
TEST(Metrics, BoundsTheSeriesOfAFamily)
{
  MetricFamily family;
  for (std::size_t i = 0; i < MetricFamily::kMostSeries + 10; ++i) {
    family.Add({ std::to_string(i) }, 1);
  }
  DOUBLES_EQUAL(1, family.Get({ "0" }), 0);
  DOUBLES_EQUAL(10, family.Get({ "other" }), 0);
}

// Guards against a metric of the table that the page leaves out or names twice.
TEST(Metrics, NamesEachMetricOnce)
{
  const Metrics metrics;
  std::istringstream lines(metrics.PrometheusText());
  std::string line;
  std::map<std::string, int> types;
  while (std::getline(lines, line)) {
    if (line.rfind("# TYPE ", 0) == 0) {
      ++types[line.substr(7, line.find(' ', 7) - 7)];
    }
  }
  const auto expected =
    static_cast<std::size_t>(Counter::Count) + static_cast<std::size_t>(Gauge::Count) +
    static_cast<std::size_t>(Family::Count) + static_cast<std::size_t>(Timing::Count);
  UNSIGNED_LONGS_EQUAL(expected, types.size());
  for (const auto& [name, count] : types) {
    LONGS_EQUAL(1, count);
  }
}
