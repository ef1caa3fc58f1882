#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gpTestFolder.h"
#include "gpTestProcess.h"

/// Exit code and output of a call of the program gypsumpoint.
struct gpOperatorResult
{
  int exit_ = -1;
  std::string out_;
  std::string err_;
};

/** \class gpOperatorCall
 * \brief A call of the program gypsumpoint, which runs in the background.
 */
class gpOperatorCall
{
public:
  explicit gpOperatorCall(std::vector<std::string> aArguments);

  bool IsRunning() { return process_->IsRunning(); }
  /// Waits for the exit.
  gpOperatorResult Wait();

private:
  std::string Read(const std::string& aFile) const;

  std::unique_ptr<gpTestFolder> folder_;
  std::unique_ptr<gpTestProcess> process_;
};

/// Calls gypsumpoint and waits for its exit.
gpOperatorResult
gpRunOperatorCall(std::vector<std::string> aArguments);

/** \class gpTestFile
 * \brief A file with a given text, removed by the destructor.
 */
class gpTestFile
{
public:
  explicit gpTestFile(const std::string& aText);
  std::string Path() const { return (folder_.Path() / "file.json").string(); }

private:
  gpTestFolder folder_;
};
