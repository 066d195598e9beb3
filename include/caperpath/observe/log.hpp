#ifndef CAPERPATH_OBSERVE_LOG_HPP
#define CAPERPATH_OBSERVE_LOG_HPP

#include <caperpath/base/error.hpp>

#include <string>
#include <string_view>

namespace caperpath::observe
{

/// Fields common to all log lines; empty members are omitted. The views need to
/// live only until the call returns.
struct log_context
{
    std::string_view step{};    ///< for example "dispatch"
    std::string_view request{}; ///< request id
    std::string_view peer{};    ///< address or name of the peer
};

/// A source location. Replaces `std::source_location`, which clang-tidy 14
/// cannot parse in this standard library. Immutable value.
struct source_location
{
    char const* file{};
    int line{};

    /// Returns the location of the call when used as a default argument.
    static constexpr source_location
    current(char const* file = __builtin_FILE(), int line = __builtin_LINE())
    {
        return {file, line};
    }
};

/// Sends the log to standard error, because VMs have no disk. Call once in
/// `main`, before any other thread starts.
/// @pre `program` stays valid until the process ends.
void start_log(char const* program);

/// Returns `step=.. request=.. peer=.. detail=..`, always one line. Thread
/// safe.
std::string format_line(log_context const& context, std::string_view detail);

/// Returns `value` as written after "key=": unquoted if it consists of safe
/// characters only, else quoted and escaped. Thread safe.
std::string escape_value(std::string_view value);

/// Inverse of `escape_value`, for tools that read logs. Thread safe.
/// @pre `text` was returned by `escape_value`.
std::string unescape_value(std::string_view text);

/// Each writes one line at its severity. Thread safe.
void log_info(log_context const& context, std::string_view detail,
              source_location at = source_location::current());
void log_warning(log_context const& context, std::string_view detail,
                 source_location at = source_location::current());
void log_error(log_context const& context, std::string_view detail,
               source_location at = source_location::current());

/// Logs a warning with the step, peer, kind and detail of `fault`. Thread safe.
void log_failure(std::string_view request, error const& fault,
                 source_location at = source_location::current());

} // namespace caperpath::observe

#endif
