#define BOOST_TEST_MODULE report
#include <boost/test/unit_test.hpp>
