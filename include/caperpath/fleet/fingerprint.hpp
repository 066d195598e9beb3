#ifndef CAPERPATH_FLEET_FINGERPRINT_HPP
#define CAPERPATH_FLEET_FINGERPRINT_HPP

#include <caperpath/base/id.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// What tells a request that comes again from another one.
namespace caperpath::fleet
{

/// 128 bits of a SHA-256. Immutable value.
struct fingerprint
{
    std::uint64_t high{};
    std::uint64_t low{};

    friend auto operator<=>(fingerprint const&, fingerprint const&) = default;
};

/// What a caller sends again when it repeats a request. The id of the attempt
/// is not part of it.
struct request_content
{
    /// Whose request it is; of callers without a customer the key, if any. Part
    /// of the fingerprint, so that nobody can have another's request refused.
    std::string_view caller;
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Thread safe. Time linear in the size of the body.
fingerprint fingerprint_of(request_content const& content);

/// 32 hexadecimal digits, and back; nothing if it is no such text. Thread safe.
std::string to_string(fingerprint const& of);
std::optional<fingerprint> read_fingerprint(std::string_view text);

} // namespace caperpath::fleet

#endif
