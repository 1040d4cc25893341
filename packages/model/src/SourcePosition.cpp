#include "hemlockproxy/model/SourcePosition.h"

namespace hemlockproxy::model {

std::string ToString(const SourcePosition& aPosition)
{
  std::string text = aPosition.path_;
  if (aPosition.line_ > 0) {
    text += ":" + std::to_string(aPosition.line_);
    if (aPosition.column_ > 0) {
      text += ":" + std::to_string(aPosition.column_);
    }
  }
  return text;
}

} // namespace hemlockproxy::model
