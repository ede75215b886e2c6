#include "assembly/assembler.h"

#include <CppUTest/TestHarness.h>
