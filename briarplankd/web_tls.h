/**
 * TLS of the HTTP server.
 */
#ifndef BRIARPLANKD_WEB_TLS_H
#define BRIARPLANKD_WEB_TLS_H

#include <openssl/ssl.h>

/**
 * Creates a context for TLS 1.2 and later with HTTP/1.1 and HTTP/2 from the PEM
 * files of a certificate chain and its key. Returns NULL and sets the error if
 * a file is invalid or the key does not match the certificate.
 */
SSL_CTX *web_tls_create(const char *certificate, const char *key);

#endif
