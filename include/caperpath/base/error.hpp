#ifndef CAPERPATH_BASE_ERROR_HPP
#define CAPERPATH_BASE_ERROR_HPP

#include <boost/leaf.hpp>

#include <string>
#include <string_view>
#include <type_traits>
#include <utility>
#include <variant>

namespace caperpath
{

/// The kind of a failure. Code branches on this; the other fields are for
/// people.
enum class error_kind
{
    invalid,     ///< the input is wrong; a retry fails the same way
    not_found,   ///< the named thing does not exist
    conflict,    ///< a concurrent change came first
    refused,     ///< the peer rejected the request; nothing took effect
    unavailable, ///< the peer could not be reached; nothing took effect
    timeout,     ///< no response in time; the effect is unknown
    internal     ///< a fault of this program
};

/// An error with the step and the peer at which it occurred. Immutable value.
struct error
{
    error_kind kind{error_kind::internal};
    std::string step;   ///< for example "draw" or "parse settings"
    std::string peer;   ///< address or name of the other side, empty if none
    std::string detail; ///< a sentence for people

    friend bool operator==(error const&, error const&) = default;
};

/// Result or error, without exceptions.
template <class T>
using result = boost::leaf::result<T>;

/// The lower-case name of a kind, as written to logs. Thread safe.
std::string_view to_string(error_kind kind);

/// One line: "step=draw peer=10.0.0.1:900 kind=timeout detail". Thread safe.
std::string to_string(error const& fault);

/// Raises `fault` as the error of the enclosing `result`. Thread safe.
inline boost::leaf::error_id fail(error fault)
{
    return boost::leaf::new_error(std::move(fault));
}

/// Calls `f`, which returns `result<T>`, and returns its value or the error as
/// a variant that can be stored, compared or passed to another thread. Does not
/// catch exceptions from `f`. Thread safe.
template <class F>
auto value_or_error(F&& f)
{
    using value_type = std::decay_t<decltype(std::forward<F>(f)().value())>;
    using both = std::variant<value_type, error>;
    return boost::leaf::try_handle_all(
        [&]() -> result<both>
        {
            auto outcome = std::forward<F>(f)();
            if (!outcome)
            {
                return outcome.error();
            }
            return both{std::move(outcome).value()};
        },
        [](error const& fault) { return both{fault}; },
        []() {
            return both{
                error{error_kind::internal, "unknown", "", "no detail"}};
        });
}

} // namespace caperpath

#endif
