#include "gpDaemonOptions.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/program_options.hpp>

#include "gpBuildVersion.h"

namespace po = boost::program_options;

namespace {

gpDaemonOptions
ExitWith(int aCode)
{
  gpDaemonOptions options;
  options.exit_ = true;
  options.exitCode_ = aCode;
  return options;
}

} // namespace

gpDaemonOptions
gpDaemonOptions::Parse(int aCount,
                       char** aArguments,
                       const std::string& aProgram,
                       const std::string& aPurpose)
{
  gpDaemonOptions options;
  po::options_description known("Options");
  known.add_options()                                                   //
    ("config", po::value(&options.configFile_), "settings file (JSON)") //
    ("help", "print this help")                                         //
    ("version", "print the version");
  po::variables_map values;
  try {
    po::store(po::parse_command_line(aCount, aArguments, known), values);
    po::notify(values);
  } catch (const po::error& error) {
    std::cerr << aProgram << ": " << error.what() << "\n";
    return ExitWith(kExitUsage);
  }
  if (values.count("help") > 0) {
    std::cout << aProgram << ": " << aPurpose << "\n\nUsage: " << aProgram
              << " --config FILE\n\n"
              << known;
    return ExitWith(kExitOk);
  }
  if (values.count("version") > 0) {
    std::cout << aProgram << " " << gpBuildVersion() << "\n";
    return ExitWith(kExitOk);
  }
  if (options.configFile_.empty()) {
    std::cerr << aProgram << ": --config FILE is required\n";
    return ExitWith(kExitUsage);
  }
  return options;
}

bool
gpReadFile(const std::string& aFile, std::string& aText)
{
  std::ifstream stream(aFile, std::ios::binary);
  std::ostringstream text;
  text << stream.rdbuf();
  if (!stream) {
    std::cerr << aFile << ": can't be read\n";
    return false;
  }
  aText = text.str();
  return true;
}
