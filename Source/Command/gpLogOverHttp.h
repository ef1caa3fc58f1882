#pragma once

#include "gpLogAccess.h"

class gpNetwork;

/** \class gpLogOverHttp
 * \brief The log service at an address.
 */
class gpLogOverHttp : public gpLogAccess
{
public:
  gpLogOverHttp(gpNetwork& aNetwork, const gpAddress& aService);

  absl::StatusOr<gpLogOffset> Append(const std::string& aData) override;
  absl::StatusOr<gpLogBatch> Read(gpLogOffset aFrom) override;
  void Pause(gpMillis aTime) override;

private:
  gpNetwork& network_;
  gpLogClient client_;
};
