#include <stdbool.h>

#include <h2o.h>
#include <h2o/http2.h>
#include <openssl/err.h>

#include "common/error.h"
#include "web_tls.h"

static bool load(SSL_CTX *tls, const char *certificate, const char *key)
{
	if (SSL_CTX_use_certificate_chain_file(tls, certificate) != 1) {
		error_set("can't use the certificate %s: %s", certificate,
			  ERR_reason_error_string(ERR_peek_last_error()));
		return false;
	}
	/* Loading the key also checks that it matches the certificate. */
	if (SSL_CTX_use_PrivateKey_file(tls, key, SSL_FILETYPE_PEM) != 1) {
		error_set("can't use the key %s: %s", key,
			  ERR_reason_error_string(ERR_peek_last_error()));
		return false;
	}
	return true;
}

SSL_CTX *web_tls_create(const char *certificate, const char *key)
{
	SSL_CTX *tls = SSL_CTX_new(TLS_server_method());

	SSL_CTX_set_min_proto_version(tls, TLS1_2_VERSION);
	SSL_CTX_set_options(tls, SSL_OP_NO_COMPRESSION |
					 SSL_OP_NO_RENEGOTIATION |
					 SSL_OP_CIPHER_SERVER_PREFERENCE);
	h2o_ssl_register_alpn_protocols(tls, h2o_http2_alpn_protocols);
	if (load(tls, certificate, key))
		return tls;
	SSL_CTX_free(tls);
	return NULL;
}
