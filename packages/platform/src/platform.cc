#include "dotterellead/platform.h"
