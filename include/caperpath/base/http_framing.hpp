#ifndef CAPERPATH_BASE_HTTP_FRAMING_HPP
#define CAPERPATH_BASE_HTTP_FRAMING_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace caperpath
{

/// The parts of the head of an HTTP/1 message that decide where its body ends.
/// Immutable value; the text must outlive it.
struct framing_fields
{
    unsigned version{11}; ///< 10 or 11
    /// The value of each `Transfer-Encoding` field, in order.
    std::vector<std::string_view> codings;
    /// The value of each `Content-Length` field, in order.
    std::vector<std::string_view> lengths;

    friend bool operator==(framing_fields const&,
                           framing_fields const&) = default;
};

/// Why the end of a body is ambiguous. Two recipients of such a message can
/// disagree about where the next one begins.
enum class framing_fault : std::uint8_t
{
    unsupported_coding, ///< a transfer coding that is not `chunked` alone
    coding_and_length,
    coding_in_http_10, ///< HTTP/1.0 has no transfer codings
    invalid_length     ///< not a number, or several different ones
};

/// Returns what makes the framing of a message ambiguous, or nothing if
/// `chunked`, a length or the lack of both decides it. Thread safe.
std::optional<framing_fault> find_framing_fault(framing_fields const& fields);

/// A single word, for logs. Thread safe.
std::string_view to_text(framing_fault fault);

} // namespace caperpath

#endif
