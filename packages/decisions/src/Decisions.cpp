// Keeps the umbrella header compiling on its own.
#include "hemlockproxy/decisions/Decisions.h"
