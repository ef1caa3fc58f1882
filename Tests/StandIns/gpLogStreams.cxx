#include "gpLogStreams.h"

#include <utility>

std::uint64_t
gpLogStreams::Append(const std::string& aStream, std::string aRecord)
{
  gpLogStream& stream = streams_[aStream];
  const std::uint64_t offset = stream.Next();
  stream.records_.push_back(std::move(aRecord));
  Trim(stream);
  return offset;
}

const gpLogStream&
gpLogStreams::Get(const std::string& aStream)
{
  return streams_[aStream];
}

void
gpLogStreams::SetRetention(std::size_t aRecords)
{
  retention_ = aRecords;
  for (auto& [name, stream] : streams_) {
    Trim(stream);
  }
}

void
gpLogStreams::Trim(gpLogStream& aStream) const
{
  while (aStream.records_.size() > retention_) {
    aStream.records_.pop_front();
    ++aStream.earliest_;
  }
}
