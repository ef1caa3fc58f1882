#pragma once

#include "gpConfiguration.h"
#include "gpJsonReader.h"

/// Reads and checks the JSON object of a configuration, which is either a whole
/// file or a part of a log record. Used only in Source/Configuration.
gpConfiguration
gpReadConfiguration(gpJsonObject& aFile, gpJsonErrors& aErrors);

/// The JSON object of a configuration. Used only in Source/Configuration.
boost::json::object
gpConfigurationToJson(const gpConfiguration& aConfiguration);
