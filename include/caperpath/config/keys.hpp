#ifndef CAPERPATH_CONFIG_KEYS_HPP
#define CAPERPATH_CONFIG_KEYS_HPP

#include <caperpath/config/document.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace caperpath::config
{

/// Random bytes that a new key needs; the caller draws them.
inline constexpr std::size_t secret_bytes = 32;
inline constexpr std::size_t salt_bytes = 16;

/// Longest key that is looked at; bounds the work of one look-up.
inline constexpr std::size_t max_key_length = 256;

/// Lower-case hexadecimal of `bytes`. Thread safe.
std::string to_hex(std::string_view bytes);

/// The key that a customer is given: "cp_<customer>_<secret in hexadecimal>".
/// The customer's name is public; it tells a router which salts to try, so that
/// a look-up costs one customer's hashes and not 1,400. Thread safe.
/// @pre `is_name(owner.value)` and `secret` has at least 32 random bytes.
std::string make_key(customer_id const& owner, std::string_view secret);

/// The customer that a key names, whether or not the key is right. Nothing if
/// the text has not the form of a key. Thread safe.
std::optional<customer_id> owner_of(std::string_view key);

/// Salted SHA-256 of a key. One round is enough: the secret has 256 random bits
/// and cannot be found by trying. Thread safe. @pre `salt` has 16 random bytes.
key_hash hash_key(std::string_view key, std::string_view salt);

/// True when `key` gives `hash`. Takes the same time wherever the two differ.
/// Thread safe.
bool matches(key_hash const& hash, std::string_view key);

/// The customer whose key this is, or nothing. A key of an unknown customer
/// costs as many hashes as a wrong key of a known one. Thread safe.
std::optional<customer_id> find_customer(document const& source,
                                         std::string_view key);

} // namespace caperpath::config

#endif
