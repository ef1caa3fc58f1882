#pragma once

#include <filesystem>

/** \class gpTestFolder
 * \brief A temporary folder, removed at the end of its scope.
 *
 * It's kept, and named on the standard error, if the environment variable
 * GP_KEEP_TEST_FILES is set.
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
