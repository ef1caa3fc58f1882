#pragma once

#include <optional>
#include <vector>

#include "gpAnswer.h"
#include "gpDigest.h"
#include "gpIds.h"
#include "gpWireReader.h"

/** \brief Conversion of ids and answers, which several groups of messages use.
 *
 * Internal to this folder. In all gpWire*.h files, gpWriteWire writes an object
 * of Source/Model as a FlatBuffers table, and gpReadWire reads it back; the
 * latter returns false if a value is invalid, see gpWireReader.
 */

gpWire::JobId
gpToWire(const gpJobId& aId);
gpWire::TaskId
gpToWire(const gpTaskId& aId);
gpWire::Digest
gpToWire(const gpDigest& aDigest);

/// Conversion of required structs. These are present in every verified buffer,
/// so it can't fail.
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
 * \brief An answer as written to a buffer: the type and the value of the union.
 * The type is NONE if there is no answer.
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

/// Writes a vector of tables, each by the function gpWriteWire.
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
