#pragma once

#include <string>
#include <vector>

#include "gpLoadTables.h"

/** \class gpReportFile
 * \brief One file of a report.
 */
struct gpReportFile
{
  /// File name without folder, such as "bayou-lily-response.svg".
  std::string name_;
  std::string content_;
};

/// Charts for the runs of one experiment. All file names start with the stem.
std::vector<gpReportFile>
gpLoadCharts(const std::string& aStem, const gpLoadResults& aResults);
