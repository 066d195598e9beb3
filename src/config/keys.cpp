#include <caperpath/config/keys.hpp>

#include "config/sha256.hpp"

#include <openssl/crypto.h>

#include <cstdint>

namespace caperpath::config
{

namespace
{

constexpr std::string_view key_prefix = "cp_";
constexpr std::size_t sha256_bytes = 32;

int digit_value(char digit)
{
    return digit >= 'a' ? digit - 'a' + 10 : digit - '0';
}

// @pre `text` is hexadecimal; reading the document has checked that.
std::string from_hex(std::string_view text)
{
    std::string bytes;
    for (std::size_t i = 0; i + 1 < text.size(); i += 2)
    {
        auto const high = digit_value(text[i]);
        auto const low = digit_value(text[i + 1]);
        bytes.push_back(static_cast<char>(high * 16 + low));
    }
    return bytes;
}

} // namespace

std::string to_hex(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (char const byte : bytes)
    {
        auto const value = static_cast<std::uint8_t>(byte);
        text.push_back(digits[value / 16]);
        text.push_back(digits[value % 16]);
    }
    return text;
}

std::string make_key(customer_id const& owner, std::string_view secret)
{
    return std::string{key_prefix} + owner.value + "_" + to_hex(secret);
}

std::optional<customer_id> owner_of(std::string_view key)
{
    auto const last = key.rfind('_');
    if (key.size() > max_key_length || !key.starts_with(key_prefix) ||
        last <= key_prefix.size())
    {
        return std::nullopt;
    }
    auto const owner = key.substr(key_prefix.size(), last - key_prefix.size());
    return customer_id{std::string{owner}};
}

key_hash hash_key(std::string_view key, std::string_view salt)
{
    auto bytes = std::string{salt};
    bytes += key;
    return {to_hex(salt), to_hex(sha256(bytes))};
}

bool matches(key_hash const& hash, std::string_view key)
{
    auto const tried = hash_key(key, from_hex(hash.salt));
    // A comparison that stops at the first difference would reveal the hash
    // byte by byte through its response times. This one always compares all
    // bytes.
    return tried.sha256.size() == hash.sha256.size() &&
           CRYPTO_memcmp(tried.sha256.data(), hash.sha256.data(),
                         hash.sha256.size()) == 0;
}

std::optional<customer_id> find_customer(document const& source,
                                         std::string_view key)
{
    // A faster response for an unknown name would let a caller list the
    // customers by timing, so an unknown name is checked against a hash that
    // nothing matches.
    static customer const unknown_customer{
        {{std::string(salt_bytes * 2, '0'),
          std::string(sha256_bytes * 2, 'x')}},
        {},
        0,
        0,
        0};
    auto const owner = owner_of(key);
    if (!owner)
    {
        return std::nullopt;
    }
    auto const entry = source.customers.find(*owner);
    auto const known = entry != source.customers.end();
    bool found = false;
    for (auto const& hash : (known ? entry->second : unknown_customer).keys)
    {
        found = matches(hash, key) || found;
    }
    return found && known ? owner : std::nullopt;
}

} // namespace caperpath::config
