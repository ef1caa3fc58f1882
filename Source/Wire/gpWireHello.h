#pragma once

#include "gpFrame.h"
#include "gpWireReader.h"

/** \brief Conversion of the handshake message of a link; see gpWireAnswer.h.
 *
 * Internal to this folder.
 */

flatbuffers::Offset<gpWire::Hello>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpHello& aIn);
bool
gpReadWire(gpWireReader& aReader, const gpWire::Hello* aIn, gpHello& aOut);
