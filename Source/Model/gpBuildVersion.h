#pragma once

#include <string_view>

/// The version of the project, and a digest of the sources that the program was
/// built from, such as "0.1.0 sources 4f1d0c9a77e2". `cmake -P
/// CMake/gpSourceDigest.cmake` prints the digest of a checkout.
std::string_view
gpBuildVersion();
