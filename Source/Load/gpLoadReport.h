#pragma once

#include <vector>

#include "gpLoadCharts.h"
#include "gpLoadResult.h"

/** \brief Compares runs: report.md with tables, and charts that it shows.
 *
 * Runs are grouped by experiment; in each, a line or bar stands for a label,
 * or for a label and a load. A run of several files with one label and load
 * (other seeds) has a row each; charts show their mean.
 */
std::vector<gpReportFile>
gpRenderLoadReport(const std::vector<gpLoadResult>& aResults);
