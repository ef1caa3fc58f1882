#include "gpWireReader.h"

bool
gpWireReader::Fail(const char* aReason)
{
  if (*failure_ == '\0') {
    failure_ = aReason;
  }
  return false;
}

bool
gpWireReader::Read(const flatbuffers::String* aIn, std::string& aOut)
{
  if (aIn == nullptr) {
    return Fail("string missing");
  }
  if (!TakeFromBudget(aIn->size() + sizeof(flatbuffers::uoffset_t))) {
    return false;
  }
  aOut.assign(aIn->c_str(), aIn->size());
  return true;
}

bool
gpWireReader::TakeFromBudget(std::size_t aBytes)
{
  if (aBytes > budget_) {
    return Fail("decoded content exceeds the buffer size: parts overlap");
  }
  budget_ -= aBytes;
  return true;
}
