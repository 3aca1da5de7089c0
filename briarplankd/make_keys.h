/**
 * Makes the key pair of a fleet's bus.
 */
#ifndef BRIARPLANKD_MAKE_KEYS_H
#define BRIARPLANKD_MAKE_KEYS_H

/** Prints a new pair as the member "keys" of a settings file; exit status. */
int make_keys_print(void);

#endif
