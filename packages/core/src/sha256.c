#include <celeryquay/core/sha256.h>

#include <openssl/evp.h>

#define HASH_LEN (SHA256_HEX_LEN / 2)

/* Reused for the life of the process, which has a single thread. */
static struct {
	EVP_MD *md;
	EVP_MD_CTX *ctx;
} state;

/* Aborts without SHA-256, since no caller could be authenticated. */
static void init_state(void)
{
	state.md = EVP_MD_fetch(NULL, "SHA256", NULL);
	state.ctx = EVP_MD_CTX_new();
	if (!state.md || !state.ctx)
		g_error("OpenSSL provides no SHA-256");
}

/* Writes the hash in lower-case hexadecimal digits, and a NUL. */
void sha256_hex(struct str text, char out[SHA256_HEX_LEN + 1])
{
	static const char digits[] = "0123456789abcdef";
	unsigned char hash[HASH_LEN];
	size_t i;

	if (!state.ctx)
		init_state();
	if (!EVP_DigestInit_ex2(state.ctx, state.md, NULL) ||
	    !EVP_DigestUpdate(state.ctx, text.data, text.len) ||
	    !EVP_DigestFinal_ex(state.ctx, hash, NULL))
		g_error("SHA-256 failed");
	for (i = 0; i < sizeof(hash); i++) {
		*out++ = digits[hash[i] >> 4];
		*out++ = digits[hash[i] & 0xf];
	}
	*out = '\0';
}
