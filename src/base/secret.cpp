#include <ibishinge/base/secret.h>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>

#include <fstream>
#include <memory>
#include <vector>

namespace ibishinge {

namespace {

std::string hexDigits(const unsigned char *bytes, std::size_t count)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(2 * count);
    for (std::size_t i = 0; i < count; ++i) {
        text += digits[bytes[i] >> 4U];
        text += digits[bytes[i] & 15U];
    }
    return text;
}

} // namespace

sha256_digest sha256(std::string_view first, std::string_view second)
{
    const std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)> context(EVP_MD_CTX_new(),
                                                                          &EVP_MD_CTX_free);
    sha256_digest digest {};
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    EVP_DigestUpdate(context.get(), first.data(), first.size());
    EVP_DigestUpdate(context.get(), second.data(), second.size());
    EVP_DigestFinal_ex(context.get(), digest.data(), nullptr);
    return digest;
}

bool equalInConstantTime(const sha256_digest &a, const sha256_digest &b) noexcept
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return equalInConstantTime(sha256(a), sha256(b));
}

result<std::string> randomHex(std::size_t count)
{
    std::vector<unsigned char> bytes(count);
    if (RAND_priv_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        return makeError(error_kind::internal, "random generator", "no random bytes available");
    }
    return hexDigits(bytes.data(), bytes.size());
}

std::string toHex(const sha256_digest &bytes)
{
    return hexDigits(bytes.data(), bytes.size());
}

result<std::string> readSecretFile(const std::string &path)
{
    std::ifstream in(path);
    std::string line;
    if (!in || !std::getline(in, line)) {
        return makeError(error_kind::invalid_request, path, "cannot read a line");
    }
    if (!line.empty() && line.back() == '\r') {
        line.pop_back();
    }
    if (line.size() < minSecretLength) {
        return makeError(error_kind::invalid_request, path,
                         "the first line is shorter than " + std::to_string(minSecretLength)
                             + " bytes");
    }
    return line;
}

} // namespace ibishinge
