#ifndef CAPERPATH_FLEET_FINGERPRINT_HPP
#define CAPERPATH_FLEET_FINGERPRINT_HPP

#include <caperpath/base/id.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Identifies a request that a caller sends again.
namespace caperpath::fleet
{

/// 128 bits of a SHA-256. Immutable value.
struct fingerprint
{
    std::uint64_t high{};
    std::uint64_t low{};

    friend auto operator<=>(fingerprint const&, fingerprint const&) = default;
};

/// The parts of a request that stay the same in a retry. The id of the attempt
/// is not one of them.
struct request_content
{
    /// The customer, or the key, if any, of a caller without a customer. Part
    /// of the fingerprint, so that one caller cannot cause the rejection of
    /// another's requests.
    std::string_view caller;
    std::string_view method;
    std::string_view host;
    std::string_view target; ///< path and query
    std::string_view body;
};

/// Thread safe. Time linear in the size of the body.
fingerprint fingerprint_of(request_content const& content);

/// Conversion to 32 hexadecimal digits and back; `read_fingerprint` returns
/// empty for any other text. Thread safe.
std::string to_string(fingerprint const& of);
std::optional<fingerprint> read_fingerprint(std::string_view text);

} // namespace caperpath::fleet

#endif
