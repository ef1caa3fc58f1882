// The one place where the bodies of Asio's functions are compiled; see
// BOOST_ASIO_SEPARATE_COMPILATION in CMakeLists.txt.
#include <boost/asio/impl/src.hpp>
