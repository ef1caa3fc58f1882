// The only translation unit that compiles the non-template code of Asio; see
// BOOST_ASIO_SEPARATE_COMPILATION in CMakeLists.txt.
#include <boost/asio/impl/src.hpp>
