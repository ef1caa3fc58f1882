#pragma once

#include "gpRunMessages.h"
#include "gpWireReader.h"

/** \brief Conversion of the messages about runs; see gpWireAnswer.h.
 *
 * Internal to this folder.
 */

flatbuffers::Offset<gpWire::RunOrder>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpRunOrder& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunOrder* aIn,
           gpRunOrder& aOut);

flatbuffers::Offset<gpWire::RunCancel>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpRunCancel& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunCancel* aIn,
           gpRunCancel& aOut);

flatbuffers::Offset<gpWire::RunReport>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpRunReport& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunReport* aIn,
           gpRunReport& aOut);

flatbuffers::Offset<gpWire::RunsHeld>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpRunsHeld& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RunsHeld* aIn,
           gpRunsHeld& aOut);

flatbuffers::Offset<gpWire::TargetNews>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpTargetUpdate& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::TargetNews* aIn,
           gpTargetUpdate& aOut);

flatbuffers::Offset<gpWire::RoomReport>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpCapacityReport& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RoomReport* aIn,
           gpCapacityReport& aOut);

flatbuffers::Offset<gpWire::EntryNews>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpEntryUpdate& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::EntryNews* aIn,
           gpEntryUpdate& aOut);
