#include "gpTestLoop.h"

#include "gpEventLoopContext.h"

void
gpRunUntil(gpEventLoop& aLoop, const std::function<bool()>& aCondition)
{
  while (!aCondition()) {
    aLoop.GetContext().io_.run_one();
  }
}
