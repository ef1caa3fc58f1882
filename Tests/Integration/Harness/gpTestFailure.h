#pragma once

#include <stdexcept>
#include <string>

/** \class gpTestFailure
 * \brief Thrown if a process fails or a condition isn't met in time; ends the
 * test case.
 */
class gpTestFailure : public std::runtime_error
{
public:
  explicit gpTestFailure(const std::string& aText)
    : std::runtime_error(aText)
  {
  }
};
