#ifndef CAPERPATH_REQUEST_OUTCOME_HPP
#define CAPERPATH_REQUEST_OUTCOME_HPP

#include <caperpath/base/clock.hpp>

#include <string>
#include <string_view>

namespace caperpath::request
{

/// Whether the request ran, as reported to the caller in `Caperpath-Outcome`.
enum class outcome
{
    not_run,  ///< no backend server can have run it; a retry is safe
    unknown,  ///< it may have run
    completed ///< it ran, and this is its response
};

/// Thread safe. Returns "not-run", "unknown" or "completed".
std::string_view to_string(outcome kind);

/// A final response other than success. Immutable value.
struct rejection
{
    int status{}; ///< HTTP status code
    outcome kind{outcome::not_run};
    duration retry_after{}; ///< 0: waiting does not help
    std::string type;       ///< OpenAI error type, "invalid_request_error"
    std::string code;       ///< stable code for programs, "budget_exhausted"
    std::string param;      ///< the invalid field, may be empty
    std::string message;    ///< human-readable sentence

    friend bool operator==(rejection const&, rejection const&) = default;
};

} // namespace caperpath::request

#endif
