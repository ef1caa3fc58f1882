#include "gpTestFolder.h"

#include <cstdlib>
#include <iostream>
#include <string>
#include <system_error>

#include "gpTestFailure.h"

gpTestFolder::gpTestFolder()
{
  std::string name =
    (std::filesystem::temp_directory_path() / "gypsumpoint-XXXXXX").string();
  if (mkdtemp(name.data()) == nullptr) {
    throw gpTestFailure("can't create " + name);
  }
  path_ = name;
}

gpTestFolder::~gpTestFolder()
{
  if (std::getenv("GP_KEEP_TEST_FILES") != nullptr) {
    std::cerr << "files of the test: " << path_.string() << "\n";
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}
