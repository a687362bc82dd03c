#include <ibishinge/outside/base64.h>

#include <openssl/evp.h>

#include <algorithm>
#include <cctype>

namespace ibishinge {

std::string encodeBase64(std::string_view bytes)
{
    // EVP_EncodeBlock appends a zero byte.
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), // NOLINT
                        reinterpret_cast<const unsigned char *>(bytes.data()), // NOLINT
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> decodeBase64(std::string_view text)
{
    const bool blank =
        std::any_of(text.begin(), text.end(), [](unsigned char c) { return std::isspace(c) != 0; });
    if (text.size() % 4 != 0 || blank) {
        return std::nullopt; // EVP_DecodeBlock skips white space.
    }
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length =
        EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), // NOLINT
                        reinterpret_cast<const unsigned char *>(text.data()), // NOLINT
                        static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    // EVP_DecodeBlock counts the bytes of the padding too.
    const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace ibishinge
