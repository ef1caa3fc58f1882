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
 * \brief Checked reading of verified FlatBuffers. For .cxx files of this
 * folder.
 *
 * Its methods return false when a value is not acceptable; the first reason is
 * kept. The bytes that are copied out are counted, and may not exceed the
 * buffer's size: that stops a small buffer that refers to the same part again
 * and again from growing into a large message.
 */
class gpWireReader
{
public:
  explicit gpWireReader(std::size_t aBufferBytes)
    : budget_(aBufferBytes)
  {
  }

  /// Notes the reason and returns false.
  bool Fail(const char* aReason);
  const char* GetFailure() const { return failure_; }

  bool Read(const flatbuffers::String* aIn, std::string& aOut);

  template<typename Tag>
  bool Read(const flatbuffers::String* aIn,
            gpStrongType<Tag, std::string>& aOut)
  {
    return Read(aIn, aOut.value_);
  }

  /// Reads an enumeration of the schema, whose enumerators are those of Model.
  template<typename Wire, typename Model>
  bool ReadEnum(Wire aIn, Model& aOut)
  {
    if (aIn > Wire::MAX) {
      return Fail("enumerator out of range");
    }
    aOut = static_cast<Model>(aIn);
    return true;
  }

  /// Reads a span of time; refuses one that could overflow in arithmetic.
  template<typename Duration>
  bool ReadDuration(std::int64_t aIn, Duration& aOut)
  {
    constexpr std::int64_t kMost = Duration(kLongestDuration).count();
    if (aIn > kMost || aIn < -kMost) {
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
    if (!Charge(aIn->size() * sizeof(Model))) {
      return false;
    }
    aOut.reserve(aIn->size());
    for (const auto& element : *aIn) {
      aOut.push_back(aConvert(element));
    }
    return true;
  }

private:
  /// The verifier sees to the alignment of all but a vector's structs. The
  /// encoder aligns no vector that is empty.
  template<typename Element>
  static bool IsAligned(const flatbuffers::Vector<Element>& aIn)
  {
    using Value = std::remove_pointer_t<Element>;
    const auto address = reinterpret_cast<std::uintptr_t>(aIn.Data());
    return aIn.size() == 0 || address % alignof(Value) == 0;
  }

  static constexpr std::chrono::years kLongestDuration{ 100 };

  /// Takes bytes that are copied out of the buffer off the budget.
  bool Charge(std::size_t aBytes);

  std::size_t budget_;
  const char* failure_ = "";
};
