#include "front_private.h"

#include <openssl/err.h>

static void fail(struct err *err, const char *what, const char *file)
{
	char reason[128];

	ERR_error_string_n(ERR_get_error(), reason, sizeof(reason));
	err_set(err, ERR_BAD_SETTINGS, "%s %s: %s", what, file, reason);
}

/*
 * Creates a context for TLS 1.2 and later that offers HTTP/2 and HTTP/1.1 by
 * ALPN. Returns NULL with BAD_SETTINGS when a file can't be used, or SYSTEM
 * when OpenSSL can't create a context.
 */
SSL_CTX *front_tls_create(const char *certificate, const char *key,
			  struct err *err)
{
	SSL_CTX *ctx = SSL_CTX_new(TLS_server_method());

	if (!ctx) {
		err_set(err, ERR_SYSTEM, "cannot create a TLS context");
		return NULL;
	}
	ERR_clear_error();
	SSL_CTX_set_min_proto_version(ctx, TLS1_2_VERSION);
	SSL_CTX_set_options(ctx, SSL_OP_NO_COMPRESSION |
					 SSL_OP_NO_RENEGOTIATION |
					 SSL_OP_CIPHER_SERVER_PREFERENCE);
	/* Saves memory: no buffers while idle, no cache of sessions. */
	SSL_CTX_set_mode(ctx, SSL_MODE_RELEASE_BUFFERS);
	SSL_CTX_set_session_cache_mode(ctx, SSL_SESS_CACHE_OFF);
	if (SSL_CTX_use_certificate_chain_file(ctx, certificate) != 1) {
		fail(err, "certificate", certificate);
		goto err;
	}
	if (SSL_CTX_use_PrivateKey_file(ctx, key, SSL_FILETYPE_PEM) != 1 ||
	    SSL_CTX_check_private_key(ctx) != 1) {
		fail(err, "key", key);
		goto err;
	}
	h2o_ssl_register_alpn_protocols(ctx, h2o_alpn_protocols);
	return ctx;
err:
	SSL_CTX_free(ctx);
	return NULL;
}
