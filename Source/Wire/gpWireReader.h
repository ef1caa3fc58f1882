#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "gpIds.h"
#include "gpTime.h"
#include "gpWire_generated.h"

/** \class gpWireReader
 * \brief Reads values from a FlatBuffers buffer that the FlatBuffers verifier
 * has accepted, and checks them further.
 *
 * Internal to this folder. The methods return false if a value is invalid; the
 * reason of the first such failure is kept. The bytes copied out of the buffer
 * are counted and must not exceed its size. Otherwise a small buffer in which
 * many offsets refer to the same part could decode to a very large message.
 */
class gpWireReader
{
public:
  /// aBufferBytes is the size of the buffer.
  explicit gpWireReader(std::size_t aBufferBytes)
    : budget_(aBufferBytes)
  {
  }

  /// Records the reason, a string literal, if it is the first; returns false.
  bool Fail(const char* aReason);
  /// The reason of the first failure; empty if there was none.
  const char* GetFailure() const { return failure_; }

  /// Reads a string; fails if it is null.
  bool Read(const flatbuffers::String* aIn, std::string& aOut);

  template<typename Tag>
  bool Read(const flatbuffers::String* aIn,
            gpStrongType<Tag, std::string>& aOut)
  {
    return Read(aIn, aOut.value_);
  }

  /// Reads an enumerator of the schema; Model must be the enumeration that has
  /// the same enumerators in Source/Model.
  template<typename Wire, typename Model>
  bool ReadEnum(Wire aIn, Model& aOut)
  {
    if (aIn > Wire::MAX) {
      return Fail("enumerator out of range");
    }
    aOut = static_cast<Model>(aIn);
    return true;
  }

  /// Reads a duration; fails if its magnitude is over 100 years, as it could
  /// overflow in arithmetic.
  template<typename Duration>
  bool ReadDuration(std::int64_t aIn, Duration& aOut)
  {
    constexpr std::int64_t kMax = Duration(kMaxDuration).count();
    if (aIn > kMax || aIn < -kMax) {
      return Fail("duration out of range");
    }
    aOut = Duration(aIn);
    return true;
  }

  /// Reads a vector of tables, each by the function gpReadWire.
  template<typename Table, typename Model>
  bool ReadTables(const flatbuffers::Vector<flatbuffers::Offset<Table>>* aIn,
                  std::vector<Model>& aOut)
  {
    if (aIn == nullptr) {
      return Fail("vector missing");
    }
    for (const Table* table : *aIn) {
      if (!gpReadWire(*this, table, aOut.emplace_back())) {
        return false;
      }
    }
    return true;
  }

  /// Reads a vector of structs or numbers, each by the given function.
  template<typename Element, typename Model, typename Convert>
  bool ReadElements(const flatbuffers::Vector<Element>* aIn,
                    std::vector<Model>& aOut,
                    Convert aConvert)
  {
    if (aIn == nullptr) {
      return Fail("vector missing");
    }
    if (!IsAligned(*aIn)) {
      return Fail("vector not aligned");
    }
    if (!TakeFromBudget(aIn->size() * sizeof(Model))) {
      return false;
    }
    aOut.reserve(aIn->size());
    for (const auto& element : *aIn) {
      aOut.push_back(aConvert(element));
    }
    return true;
  }

private:
  /// The FlatBuffers verifier checks all alignments except that of the structs
  /// in a vector. An empty vector is accepted at any address, as the encoder
  /// does not align it.
  template<typename Element>
  static bool IsAligned(const flatbuffers::Vector<Element>& aIn)
  {
    using Value = std::remove_pointer_t<Element>;
    const auto address = reinterpret_cast<std::uintptr_t>(aIn.Data());
    return aIn.size() == 0 || address % alignof(Value) == 0;
  }

  static constexpr std::chrono::years kMaxDuration{ 100 };

  /// Subtracts bytes that are copied out of the buffer from the budget; fails
  /// if it is exceeded.
  bool TakeFromBudget(std::size_t aBytes);

  /// Bytes that may still be copied out of the buffer.
  std::size_t budget_;
  const char* failure_ = "";
};
