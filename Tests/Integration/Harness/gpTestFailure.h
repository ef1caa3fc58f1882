#pragma once

#include <stdexcept>
#include <string>

/** \class gpTestFailure
 * \brief Ends a test case: a process didn't do what the test needs.
 */
class gpTestFailure : public std::runtime_error
{
public:
  explicit gpTestFailure(const std::string& aText)
    : std::runtime_error(aText)
  {
  }
};
