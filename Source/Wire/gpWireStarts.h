#pragma once

#include "gpStartMessages.h"
#include "gpWireReader.h"

/** \brief Conversion of the messages about the start of tasks; see
 * gpWireAnswer.h.
 *
 * Internal to this folder.
 */

flatbuffers::Offset<gpWire::Start>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpStart& aIn);
bool
gpReadWire(gpWireReader& aReader, const gpWire::Start* aIn, gpStart& aOut);

flatbuffers::Offset<gpWire::StartRefused>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpStartRefused& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::StartRefused* aIn,
           gpStartRefused& aOut);

flatbuffers::Offset<gpWire::StartResult>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpStartResult& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::StartResult* aIn,
           gpStartResult& aOut);

flatbuffers::Offset<gpWire::Resolve>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpResolve& aIn);
bool
gpReadWire(gpWireReader& aReader, const gpWire::Resolve* aIn, gpResolve& aOut);

flatbuffers::Offset<gpWire::ResolveReply>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpResolveReply& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ResolveReply* aIn,
           gpResolveReply& aOut);

flatbuffers::Offset<gpWire::Cancel>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpCancel& aIn);
bool
gpReadWire(gpWireReader& aReader, const gpWire::Cancel* aIn, gpCancel& aOut);

flatbuffers::Offset<gpWire::SlotReport>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpSlotReport& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::SlotReport* aIn,
           gpSlotReport& aOut);
