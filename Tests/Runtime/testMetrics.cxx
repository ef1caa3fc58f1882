#define BOOST_TEST_MODULE gpMetrics
#include <boost/test/unit_test.hpp>

#include <string>

#include "gpMetrics.h"

namespace {

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

BOOST_AUTO_TEST_CASE(CountersAndGaugesAreRendered)
{
  gpMetrics metrics;
  BOOST_TEST(metrics.Render().empty());
  metrics.Gauge("gp_waiting", "Tasks that wait.").Set(1.5);
  metrics.Counter("gp_jobs_total", "Jobs\nby \"team\".", { { "team", "b" } })
    .Add(3);
  gpCounter& counter = metrics.Counter(
    "gp_jobs_total", "Other help.", { { "team", "a\"\\\n" }, { "s", "x" } });
  counter.Add();
  BOOST_TEST(metrics.Render() ==
             "# HELP gp_jobs_total Jobs\\nby \"team\".\n"
             "# TYPE gp_jobs_total counter\n"
             "gp_jobs_total{s=\"x\",team=\"a\\\"\\\\\\n\"} 1\n"
             "gp_jobs_total{team=\"b\"} 3\n"
             "# HELP gp_waiting Tasks that wait.\n"
             "# TYPE gp_waiting gauge\n"
             "gp_waiting 1.5\n");
}

BOOST_AUTO_TEST_CASE(TheSameLabelsGiveTheSameSeries)
{
  gpMetrics metrics;
  gpCounter& first = metrics.Counter("c", "C.", { { "a", "1" } });
  for (int i = 2; i < 100; ++i) {
    metrics.Counter("c", "C.", { { "a", std::to_string(i) } });
  }
  BOOST_TEST(&metrics.Counter("c", "C.", { { "a", "1" } }) == &first);
}

BOOST_AUTO_TEST_CASE(HistogramsAreCumulative)
{
  gpMetrics metrics;
  gpHistogram& histogram =
    metrics.Histogram("t_seconds", "Time.", { { "service", "s" } });
  histogram.Observe(gpMicros{ 0 });
  histogram.Observe(gpMicros{ 50 });
  histogram.Observe(gpMicros{ 150 });
  histogram.Observe(gpMicros{ 1000000 });
  histogram.Observe(gpMicros{ 1000000000 });
  const std::string text = metrics.Render();
  const std::string bucket = "t_seconds_bucket{service=\"s\",le=";
  BOOST_TEST(Contains(text, "# TYPE t_seconds histogram\n"));
  BOOST_TEST(Contains(text, bucket + "\"0.0001\"} 2\n"));
  BOOST_TEST(Contains(text, bucket + "\"0.000141421\"} 2\n"));
  BOOST_TEST(Contains(text, bucket + "\"0.0002\"} 3\n"));
  BOOST_TEST(Contains(text, bucket + "\"0.8192\"} 3\n"));
  BOOST_TEST(Contains(text, bucket + "\"1.15852\"} 4\n"));
  BOOST_TEST(Contains(text, bucket + "\"104.858\"} 4\n"));
  BOOST_TEST(Contains(text, bucket + "\"+Inf\"} 5\n"));
  BOOST_TEST(Contains(text, "t_seconds_sum{service=\"s\"} 1001\n"));
  BOOST_TEST(Contains(text, "t_seconds_count{service=\"s\"} 5\n"));
}
