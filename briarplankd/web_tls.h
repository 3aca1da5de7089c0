/**
 * TLS towards callers and operators.
 */
#ifndef BRIARPLANKD_WEB_TLS_H
#define BRIARPLANKD_WEB_TLS_H

#include <openssl/ssl.h>

/**
 * Loads a certificate chain and its key from PEM files, for TLS 1.2 and later
 * with HTTP/1.1 and HTTP/2. NULL with an error message when they don't fit.
 */
SSL_CTX *web_tls_create(const char *certificate, const char *key);

#endif
