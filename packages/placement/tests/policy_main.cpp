#define BOOST_TEST_MODULE placement_policy
#include <boost/test/unit_test.hpp>
