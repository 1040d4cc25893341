/// Loads a folder of service files and prints its services, or each error with its position.
///
///     example_check_folder examples/temple-andino
///     archivo: 2 routes
///     bitacora: 2 routes

#include "hemlockproxy/model/ServiceFolder.h"

#include <cstdio>

using namespace hemlockproxy;

int main(int aCount, char** aArguments)
{
  if (aCount != 2) {
    std::fprintf(stderr, "usage: example_check_folder DIR\n");
    return 2;
  }
  const auto folder = model::LoadServiceFolder(aArguments[1]);
  if (!folder) {
    for (const model::FileError& error : folder.Error()) {
      std::fprintf(stderr, "%s\n", ToString(error).c_str());
    }
    return 1;
  }
  for (const auto& [name, resource] : folder->content_) {
    std::printf("%s: %zu routes\n", name.Value().c_str(), resource->config_.routes_.size());
  }
  return 0;
}
