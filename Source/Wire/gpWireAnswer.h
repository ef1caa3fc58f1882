#pragma once

#include <optional>
#include <vector>

#include "gpAnswer.h"
#include "gpDigest.h"
#include "gpIds.h"
#include "gpWireReader.h"

/** \brief Ids and answers, as several families of messages use them. For .cxx
 * files of this folder.
 *
 * In this and its sister files gpWriteWire writes a model object as a table,
 * and gpReadWire reads it back and returns false if it isn't acceptable.
 */

gpWire::JobId
gpToWire(const gpJobId& aId);
gpWire::TaskId
gpToWire(const gpTaskId& aId);
gpWire::Digest
gpToWire(const gpDigest& aDigest);

/// Structs are always there once the buffer has been verified.
gpJobId
gpFromWire(const gpWire::JobId& aId);
gpTaskId
gpFromWire(const gpWire::TaskId& aId);
gpDigest
gpFromWire(const gpWire::Digest& aDigest);

flatbuffers::Offset<gpWire::ServiceKey>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpServiceKey& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ServiceKey* aIn,
           gpServiceKey& aOut);

flatbuffers::Offset<gpWire::TaskResult>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpTaskResult& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::TaskResult* aIn,
           gpTaskResult& aOut);

/** \class gpWireAnswer
 * \brief An answer that has been written: a union's type and value.
 */
struct gpWireAnswer
{
  gpWire::Answer type_ = gpWire::Answer::NONE;
  flatbuffers::Offset<void> value_;
};

gpWireAnswer
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpAnswer& aIn);
gpWireAnswer
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const std::optional<gpAnswer>& aIn);
bool
gpReadWire(gpWireReader& aReader,
           gpWire::Answer aType,
           const void* aIn,
           gpAnswer& aOut);
bool
gpReadWire(gpWireReader& aReader,
           gpWire::Answer aType,
           const void* aIn,
           std::optional<gpAnswer>& aOut);

/// Writes each element as a table.
template<typename Model>
auto
gpWriteTables(flatbuffers::FlatBufferBuilder& aBuilder,
              const std::vector<Model>& aIn)
{
  std::vector<decltype(gpWriteWire(aBuilder, aIn.front()))> offsets;
  offsets.reserve(aIn.size());
  for (const Model& element : aIn) {
    offsets.push_back(gpWriteWire(aBuilder, element));
  }
  return aBuilder.CreateVector(offsets);
}
