/*
 * briarplankctl: the operators' client.
 */
#include <stdio.h>

#include "core/version.h"

int main(void)
{
	printf("briarplankctl %s\n", briarplank_version());
	return 0;
}
