#ifndef CAPERPATH_OBSERVE_LOG_HPP
#define CAPERPATH_OBSERVE_LOG_HPP

#include <caperpath/base/error.hpp>

#include <string>
#include <string_view>

namespace caperpath::observe
{

/// What every log line is about; empty members are left out of the line. The
/// views need to live only as long as the call that takes them.
struct log_context
{
    std::string_view step{};    ///< for example "dispatch"
    std::string_view request{}; ///< request id
    std::string_view peer{};    ///< address or name of the other side
};

/// A place in the source. `std::source_location` would do, but clang-tidy 14
/// cannot read it in this standard library. Immutable value.
struct code_place
{
    char const* file{};
    int line{};

    /// As a default argument: the place of the call.
    static constexpr code_place current(char const* file = __builtin_FILE(),
                                        int line = __builtin_LINE())
    {
        return {file, line};
    }
};

/// Sends the log to standard error: VMs have no disk. Call once in `main`,
/// before any other thread starts. @pre `program` outlives the process.
void start_log(char const* program);

/// Thread safe. `step=.. request=.. peer=.. detail=..`, always one line.
std::string format_line(log_context const& context, std::string_view detail);

/// Thread safe. `value` as it stands after "key=": bare when it is made of
/// harmless characters only, else quoted with escapes.
std::string escape_value(std::string_view value);

/// Thread safe. The inverse of `escape_value`, for tools that read logs.
/// @pre `text` was made by `escape_value`.
std::string unescape_value(std::string_view text);

/// Thread safe. Each writes one line at its severity.
void log_info(log_context const& context, std::string_view detail,
              code_place at = code_place::current());
void log_warning(log_context const& context, std::string_view detail,
                 code_place at = code_place::current());
void log_error(log_context const& context, std::string_view detail,
               code_place at = code_place::current());

/// Thread safe. A warning with the error's own step, peer, kind and detail.
void log_fault(std::string_view request, error const& fault,
               code_place at = code_place::current());

} // namespace caperpath::observe

#endif
