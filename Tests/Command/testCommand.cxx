#define BOOST_TEST_MODULE gpCommands
#include <boost/test/unit_test.hpp>
