#include "filbertspring/base/counters.h"
#include "filbertspring/base/histogram.h"

#include <boost/test/unit_test.hpp>

using namespace filbertspring;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(metrics)

BOOST_AUTO_TEST_SUITE(histogram)

BOOST_AUTO_TEST_CASE(quantiles_are_within_a_sixteenth_of_the_value) {
  Histogram Values;
  for (int Value = 1; Value <= 100000; ++Value)
    Values.add(Duration(Value));
  for (double Fraction : {0.5, 0.9, 0.99, 0.999}) {
    double Exact = Fraction * 100000;
    double Measured = static_cast<double>(Values.quantile(Fraction).count());
    BOOST_TEST(Measured >= Exact);
    BOOST_TEST(Measured <= Exact * (1.0 + 1.0 / 16));
  }
  BOOST_TEST(Values.quantile(1.0).count() == 100000);
}

BOOST_AUTO_TEST_CASE(quantiles_of_an_empty_one_are_zero) {
  BOOST_TEST(Histogram().quantile(0.99).count() == 0);
}

BOOST_AUTO_TEST_CASE(very_long_durations_stay_in_the_last_bucket) {
  Histogram Values;
  Values.add(24h * 365 * 100);
  BOOST_TEST(Values.count() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(prometheus_text)

BOOST_AUTO_TEST_CASE(lists_each_metric_with_its_type_once) {
  CounterRegistry Registry;
  Registry.counter("requests_total", "zone=\"porto\"").add(3);
  Registry.counter("requests_total", "zone=\"lisboa\"").add();
  Registry.gauge("queue_length").set(-2);
  BOOST_TEST(Registry.toPrometheusText() ==
             "# TYPE requests_total counter\n"
             "requests_total{zone=\"lisboa\"} 1\n"
             "requests_total{zone=\"porto\"} 3\n"
             "# TYPE queue_length gauge\n"
             "queue_length -2\n");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()
