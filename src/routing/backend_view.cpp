#include <caperpath/routing/backend_view.hpp>

#include <algorithm>

namespace caperpath::routing
{

namespace
{

constexpr std::int64_t failures_before_ejection = 3;
constexpr duration min_ejection{500};
constexpr std::int64_t max_doublings = 4;

} // namespace

bool usable(backend_view const& backend, instant now)
{
    return !backend.draining && backend.ejected_until <= now;
}

backend_view record_success(backend_view const& backend)
{
    auto next = backend;
    next.consecutive_failures = 0;
    next.ejected_until = {};
    return next;
}

backend_view record_failure(backend_view const& backend, instant now)
{
    auto next = backend;
    ++next.consecutive_failures;
    if (next.consecutive_failures >= failures_before_ejection)
    {
        auto const doublings =
            std::min(next.consecutive_failures - failures_before_ejection,
                     max_doublings);
        next.ejected_until =
            now + min_ejection * (std::int64_t{1} << doublings);
    }
    return next;
}

} // namespace caperpath::routing
