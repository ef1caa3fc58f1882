#pragma once

#include <vector>

#include "gpLoadCharts.h"
#include "gpLoadResult.h"

/** \brief Compares runs: report.md with tables, and the charts it refers to.
 *
 * Runs are grouped by experiment. Within one, each line or bar of a chart shows
 * a label, or a label and a load. Several runs with the same label and load
 * (and other seeds) have a table row each; charts show their mean.
 */
std::vector<gpReportFile>
gpRenderLoadReport(const std::vector<gpLoadResult>& aResults);
