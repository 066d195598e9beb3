#ifndef CAPERPATH_REQUEST_OUTCOME_HPP
#define CAPERPATH_REQUEST_OUTCOME_HPP

#include <caperpath/base/clock.hpp>

#include <string>
#include <string_view>

namespace caperpath::request
{

/// What became of the work, as the caller is told in `Caperpath-Outcome`.
enum class outcome
{
    not_run,  ///< no backend server can have run it; sending it again is safe
    unknown,  ///< it may have run
    completed ///< it ran, and this is its answer
};

/// Thread safe. "not-run", "unknown" or "completed".
std::string_view to_string(outcome kind);

/// A final answer other than success. Immutable value.
struct refusal
{
    int status{}; ///< HTTP status code
    outcome kind{outcome::not_run};
    duration retry_after{}; ///< 0: waiting does not help
    std::string type;       ///< OpenAI error type, "invalid_request_error"
    std::string code;       ///< stable word for programs, "budget_exhausted"
    std::string param;      ///< the field at fault, may be empty
    std::string message;    ///< a sentence for a person

    friend bool operator==(refusal const&, refusal const&) = default;
};

} // namespace caperpath::request

#endif
