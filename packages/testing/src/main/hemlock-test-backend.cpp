#include "hemlockproxy/testing/Programs.h"

int main(int aCount, char** aArguments)
{
  return hemlockproxy::testing::RunTestBackend(aCount, aArguments);
}
