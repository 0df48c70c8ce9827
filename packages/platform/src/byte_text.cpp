#include "byte_text.h"

namespace filbertspring {
namespace {

/// Code points from 128 to 255 take two bytes in UTF-8.
constexpr unsigned FirstTwoByteCodePoint = 0x80;
constexpr unsigned TwoByteLeadPrefix = 0xC0;
constexpr unsigned ContinuationPrefix = 0x80;
constexpr unsigned ContinuationBits = 6;
constexpr unsigned ContinuationMask = 0x3F;
/// Lead byte of the code points from 192 to 255. Greater lead bytes encode code
/// points that do not fit in a byte.
constexpr unsigned MaxTwoByteLead = 0xC3;

} // namespace

std::string bytesToText(std::string_view Bytes) {
  std::string Text;
  Text.reserve(Bytes.size());
  for (char Byte : Bytes) {
    unsigned CodePoint = static_cast<unsigned char>(Byte);
    if (CodePoint < FirstTwoByteCodePoint) {
      Text.push_back(Byte);
      continue;
    }
    Text.push_back(
        static_cast<char>(TwoByteLeadPrefix | CodePoint >> ContinuationBits));
    Text.push_back(
        static_cast<char>(ContinuationPrefix | (CodePoint & ContinuationMask)));
  }
  return Text;
}

Result<std::string> textToBytes(std::string_view Text) {
  std::string Bytes;
  Bytes.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    unsigned Lead = static_cast<unsigned char>(Text[Index]);
    if (Lead < FirstTwoByteCodePoint) {
      Bytes.push_back(Text[Index]);
      continue;
    }
    if (Lead > MaxTwoByteLead || ++Index == Text.size())
      return fail(Errc::InvalidJson);
    unsigned Low = static_cast<unsigned char>(Text[Index]) & ContinuationMask;
    unsigned High = (Lead & ContinuationMask) << ContinuationBits;
    Bytes.push_back(static_cast<char>(High | Low));
  }
  return Bytes;
}

} // namespace filbertspring
