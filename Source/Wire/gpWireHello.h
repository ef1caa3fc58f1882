#pragma once

#include "gpFrame.h"
#include "gpWireReader.h"

/** \brief The hello of a link. For .cxx files of this folder.
 */

flatbuffers::Offset<gpWire::Hello>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpHello& aIn);
bool
gpReadWire(gpWireReader& aReader, const gpWire::Hello* aIn, gpHello& aOut);
