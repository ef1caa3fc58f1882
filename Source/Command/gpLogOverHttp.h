#pragma once

#include "gpLogAccess.h"

class gpBlockingNetwork;

/** \class gpLogOverHttp
 * \brief Blocking calls over HTTP to the log service at an address.
 */
class gpLogOverHttp : public gpLogAccess
{
public:
  gpLogOverHttp(gpBlockingNetwork& aNetwork, const gpAddress& aService);

  absl::StatusOr<gpLogOffset> Append(const std::string& aData) override;
  absl::StatusOr<gpLogBatch> Read(gpLogOffset aFrom) override;
  void Pause(gpMillis aTime) override;

private:
  gpBlockingNetwork& network_;
  gpLogClient client_;
};
