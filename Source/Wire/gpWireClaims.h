#pragma once

#include "gpClaimMessages.h"
#include "gpWireReader.h"

/** \brief Conversion of the messages of the claim protocol; see gpWireAnswer.h.
 *
 * Internal to this folder.
 */

flatbuffers::Offset<gpWire::ClaimRequest>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpClaimRequest& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimRequest* aIn,
           gpClaimRequest& aOut);

flatbuffers::Offset<gpWire::ClaimReply>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpClaimReply& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimReply* aIn,
           gpClaimReply& aOut);

flatbuffers::Offset<gpWire::ClaimWithdraw>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpClaimWithdraw& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimWithdraw* aIn,
           gpClaimWithdraw& aOut);

flatbuffers::Offset<gpWire::ClaimOutcome>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpClaimOutcome& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimOutcome* aIn,
           gpClaimOutcome& aOut);

flatbuffers::Offset<gpWire::ClaimQuery>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpClaimQuery& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::ClaimQuery* aIn,
           gpClaimQuery& aOut);

flatbuffers::Offset<gpWire::CopyRequest>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpCopyRequest& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::CopyRequest* aIn,
           gpCopyRequest& aOut);

flatbuffers::Offset<gpWire::CopyReply>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpCopyReply& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::CopyReply* aIn,
           gpCopyReply& aOut);

flatbuffers::Offset<gpWire::AttachRequest>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder,
            const gpAttachRequest& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::AttachRequest* aIn,
           gpAttachRequest& aOut);

flatbuffers::Offset<gpWire::AttachReply>
gpWriteWire(flatbuffers::FlatBufferBuilder& aBuilder, const gpAttachReply& aIn);
bool
gpReadWire(gpWireReader& aReader,
           const gpWire::AttachReply* aIn,
           gpAttachReply& aOut);
