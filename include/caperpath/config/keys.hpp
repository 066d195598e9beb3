#ifndef CAPERPATH_CONFIG_KEYS_HPP
#define CAPERPATH_CONFIG_KEYS_HPP

#include <caperpath/config/document.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace caperpath::config
{

/// Number of random bytes in a new key; the caller generates them.
inline constexpr std::size_t secret_bytes = 32;
inline constexpr std::size_t salt_bytes = 16;

/// Longest key that is checked; bounds the work of one look-up.
inline constexpr std::size_t max_key_length = 256;

/// Returns `bytes` in lower-case hexadecimal. Thread safe.
std::string to_hex(std::string_view bytes);

/// Returns a new customer key: "cp_<customer>_<secret in hexadecimal>". The
/// customer's name in the key is public; it tells a router which salts to try,
/// so that a look-up costs the hashes of one customer and not of 1,400. Thread
/// safe.
/// @pre `is_name(owner.value)` and `secret` has at least 32 random bytes.
std::string make_key(customer_id const& owner, std::string_view secret);

/// Returns the customer that a key names, without checking the key. Returns
/// nothing if the text does not have the form of a key. Thread safe.
std::optional<customer_id> owner_of(std::string_view key);

/// Returns the salted SHA-256 of a key. One round is enough: the secret has 256
/// random bits and cannot be found by brute force. Thread safe. @pre `salt` has
/// 16 random bytes.
key_hash hash_key(std::string_view key, std::string_view salt);

/// True if `key` has the hash `hash`. Runs in constant time. Thread safe.
bool matches(key_hash const& hash, std::string_view key);

/// Returns the customer whose key this is, or nothing. A key of an unknown
/// customer costs as many hashes as a wrong key of a known one. Thread safe.
std::optional<customer_id> find_customer(document const& source,
                                         std::string_view key);

} // namespace caperpath::config

#endif
