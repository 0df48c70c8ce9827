#define BOOST_TEST_MODULE domain
#include <boost/test/unit_test.hpp>
