#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

/** \class gpLogStream
 * \brief The retained records of one stream.
 */
struct gpLogStream
{
  /// Offset of the first retained record.
  std::uint64_t earliest_ = 0;
  std::deque<std::string> records_;

  /// Offset of the next record to be appended.
  std::uint64_t Next() const { return earliest_ + records_.size(); }
};

/** \class gpLogStreams
 * \brief The in-memory streams of the log stand-in.
 */
class gpLogStreams
{
public:
  /// Returns the offset of the record.
  std::uint64_t Append(const std::string& aStream, std::string aRecord);
  /// Returns an empty stream if nothing has been appended to it.
  const gpLogStream& Get(const std::string& aStream);
  /// Sets the number of newest records that are retained in each stream.
  void SetRetention(std::size_t aRecords);
  std::size_t GetRetention() const { return retention_; }
  const std::map<std::string, gpLogStream>& GetAll() const { return streams_; }

private:
  void Trim(gpLogStream& aStream) const;

  std::map<std::string, gpLogStream> streams_;
  std::size_t retention_ = 1000000;
};
