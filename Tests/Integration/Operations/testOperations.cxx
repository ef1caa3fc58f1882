#define BOOST_TEST_MODULE Operations
#include <boost/test/unit_test.hpp>
