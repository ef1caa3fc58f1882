#pragma once

#include "gpMessage.h"
#include "gpWireReader.h"

/** \brief Conversion of the messages about configuration and members; see
 * gpWireAnswer.h.
 *
 * Internal to this folder.
 */

flatbuffers::Offset<gpWire::ConfigurationNews>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpConfigurationUpdate& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ConfigurationNews* aIn,
           gpConfigurationUpdate& aOut);

flatbuffers::Offset<gpWire::RosterNews>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpRosterUpdate& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RosterNews* aIn,
           gpRosterUpdate& aOut);

flatbuffers::Offset<gpWire::NewsRequest>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpUpdateRequest& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::NewsRequest* aIn,
           gpUpdateRequest& aOut);

flatbuffers::Offset<gpWire::Announce>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpAnnounce& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::Announce* aIn,
           gpAnnounce& aOut);
