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
            const gpConfigurationNews& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ConfigurationNews* aIn,
           gpConfigurationNews& aOut);

flatbuffers::Offset<gpWire::RosterNews>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpRosterNews& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::RosterNews* aIn,
           gpRosterNews& aOut);

flatbuffers::Offset<gpWire::NewsRequest>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpNewsRequest& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::NewsRequest* aIn,
           gpNewsRequest& aOut);

flatbuffers::Offset<gpWire::Announce>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpAnnounce& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::Announce* aIn,
           gpAnnounce& aOut);
