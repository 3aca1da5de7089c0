/**
 * Generates the key pair of a fleet's bus.
 */
#ifndef BRIARPLANKD_MAKE_KEYS_H
#define BRIARPLANKD_MAKE_KEYS_H

/**
 * Prints a new key pair as the member "keys" of a settings file. Returns the
 * exit status.
 */
int make_keys_print(void);

#endif
