#define BOOST_TEST_MODULE gpConfiguration
#include <boost/test/unit_test.hpp>
