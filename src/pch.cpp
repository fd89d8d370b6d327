#include "pch.h"
