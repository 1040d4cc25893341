#include "hemlockproxy/ctl/Main.h"
#include "hemlockproxy/platform/StoreClient.h"

int main(int aCount, char** aArguments)
{
  return hemlockproxy::ctl::RunCtl(aCount, aArguments, hemlockproxy::platform::MakeStoreClient);
}
