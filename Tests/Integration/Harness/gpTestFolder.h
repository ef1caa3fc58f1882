#pragma once

#include <filesystem>

/** \class gpTestFolder
 * \brief A temporary folder, removed by the destructor.
 *
 * If the environment variable GP_KEEP_TEST_FILES is set, the folder is kept and
 * its path printed to the standard error.
 */
class gpTestFolder
{
public:
  gpTestFolder();
  ~gpTestFolder();
  gpTestFolder(const gpTestFolder&) = delete;
  gpTestFolder& operator=(const gpTestFolder&) = delete;

  const std::filesystem::path& Path() const { return path_; }

private:
  std::filesystem::path path_;
};
