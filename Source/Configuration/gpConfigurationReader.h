#pragma once

#include "gpConfiguration.h"
#include "gpJsonReader.h"

/// Reads and checks the object of a configuration file, also where it's a part
/// of another text. Private to this folder.
gpConfiguration
gpReadConfiguration(gpJsonObject& aFile, gpJsonErrors& aErrors);

/// The JSON object of a configuration. Private to this folder.
boost::json::object
gpConfigurationToJson(const gpConfiguration& aConfiguration);
