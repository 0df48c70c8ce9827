#include "filbertspring/config/text_file.h"

#include <fstream>

namespace filbertspring {

Result<std::string> readTextFile(const std::string &Path) {
  std::ifstream Stream(Path, std::ios::binary);
  if (!Stream)
    return fail(Errc::FileUnreadable);
  // Reading one byte more than the limit reveals a file that is too large.
  std::string Text(MaxDocumentBytes + 1, '\0');
  Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  if (Stream.bad() || (Stream.fail() && !Stream.eof()))
    return fail(Errc::FileUnreadable);
  Text.resize(static_cast<std::size_t>(Stream.gcount()));
  if (Text.size() > MaxDocumentBytes)
    return fail(Errc::MessageTooLarge);
  return Text;
}

} // namespace filbertspring
