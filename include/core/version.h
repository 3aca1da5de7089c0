/**
 * The version of briarplank.
 */
#ifndef BRIARPLANK_CORE_VERSION_H
#define BRIARPLANK_CORE_VERSION_H

/** Returns the version string, such as "0.1.0". */
const char *briarplank_version(void);

#endif
