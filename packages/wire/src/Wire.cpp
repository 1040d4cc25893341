// Keeps the umbrella header compiling on its own.
#include "hemlockproxy/wire/Wire.h"
