#define BOOST_TEST_MODULE codec_fuzz
#include <boost/test/unit_test.hpp>
