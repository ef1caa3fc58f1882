#include "gpStandInOptions.h"

#include <exception>
#include <iostream>

#include <boost/program_options.hpp>

#include "gpError.h"

namespace po = boost::program_options;

bool
gpParseStandInOptions(int aCount,
                      const char* const* aArguments,
                      const po::options_description& aOwn,
                      gpStandInOptions& aOptions)
{
  const std::string anyPort = "127.0.0.1:0";
  po::options_description all("Options");
  all.add_options()("help", "print this help")(
    "listen",
    po::value(&aOptions.listen_.value_)->default_value(anyPort),
    "IP:PORT of the service; port 0 selects a free port")(
    "control",
    po::value(&aOptions.control_.value_)->default_value(anyPort),
    "IP:PORT of /control; port 0 selects a free port");
  all.add(aOwn);
  try {
    po::variables_map values;
    po::store(po::parse_command_line(aCount, aArguments, all), values);
    if (values.count("help") > 0) {
      std::cout << all;
      return false;
    }
    po::notify(values);
    return true;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n" << all;
    return false;
  }
}

int
gpExitCode(const absl::Status& aStatus)
{
  if (!aStatus.ok()) {
    std::cerr << gpErrorText(aStatus) << "\n";
  }
  return aStatus.ok() ? 0 : 1;
}
