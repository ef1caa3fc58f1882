#include "gpWireHello.h"

static_assert(static_cast<int>(gpWire::Role::MAX) ==
              static_cast<int>(gpRole::Command));

flatbuffers::Offset<gpWire::Hello>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpHello& aIn)
{
  const auto name = aBuilder.CreateString(aIn.peer_.name_);
  const auto address = aBuilder.CreateString(aIn.peer_.address_.value_);
  return gpWire::CreateHello(aBuilder,
                             aIn.protocol_,
                             static_cast<gpWire::Role>(aIn.peer_.role_),
                             name,
                             aIn.peer_.incarnation_.value_,
                             address,
                             aIn.nonce_,
                             aIn.echo_);
}

bool
gpReadWire(gpWireReader& aReader, const gpWire::Hello* aIn, gpHello& aOut)
{
  aOut.protocol_ = aIn->protocol();
  aOut.nonce_ = aIn->nonce();
  aOut.echo_ = aIn->echo();
  aOut.peer_.incarnation_ = gpIncarnation(aIn->incarnation());
  return aReader.ReadEnum(aIn->role(), aOut.peer_.role_) &&
         aReader.Read(aIn->name(), aOut.peer_.name_) &&
         aReader.Read(aIn->address(), aOut.peer_.address_);
}
