#include "core/version.h"

const char *briarplank_version(void)
{
	return "0.1.0";
}
