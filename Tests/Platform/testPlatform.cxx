#define BOOST_TEST_MODULE gpPlatform
#include <boost/test/unit_test.hpp>
