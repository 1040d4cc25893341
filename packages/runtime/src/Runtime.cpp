// Keeps the umbrella header compiling on its own.
#include "hemlockproxy/runtime/Runtime.h"
