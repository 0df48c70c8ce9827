#define BOOST_TEST_MODULE benchmark
#include <boost/test/unit_test.hpp>
