#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

/** \class gpLogStream
 * \brief The records of one stream that are kept.
 */
struct gpLogStream
{
  std::uint64_t earliest_ = 0;
  std::deque<std::string> records_;

  std::uint64_t Next() const { return earliest_ + records_.size(); }
};

/** \class gpLogStreams
 * \brief The streams of the log stand-in, in memory.
 */
class gpLogStreams
{
public:
  /// Returns the record's offset.
  std::uint64_t Append(const std::string& aStream, std::string aRecord);
  /// A stream that nothing was appended to is empty.
  const gpLogStream& Get(const std::string& aStream);
  /// Keeps at most so many of the newest records of each stream.
  void SetRetention(std::size_t aRecords);
  std::size_t GetRetention() const { return retention_; }
  const std::map<std::string, gpLogStream>& GetAll() const { return streams_; }

private:
  void Trim(gpLogStream& aStream) const;

  std::map<std::string, gpLogStream> streams_;
  std::size_t retention_ = 1000000;
};
