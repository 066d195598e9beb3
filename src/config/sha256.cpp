#include "config/sha256.hpp"

#include <openssl/evp.h>

#include <array>

namespace caperpath::config
{

namespace
{

constexpr std::size_t digest_bytes = 32;

} // namespace

std::string sha256(std::string const& bytes)
{
    std::array<unsigned char, digest_bytes> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(),
               nullptr);
    return {digest.begin(), digest.begin() + size};
}

} // namespace caperpath::config
