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
    return !backend.leaving && backend.set_aside_until <= now;
}

backend_view succeeded(backend_view const& backend)
{
    auto next = backend;
    next.failures = 0;
    next.set_aside_until = {};
    return next;
}

backend_view failed(backend_view const& backend, instant now)
{
    auto next = backend;
    ++next.failures;
    if (next.failures >= failures_before_ejection)
    {
        auto const doublings =
            std::min(next.failures - failures_before_ejection, max_doublings);
        next.set_aside_until =
            now + min_ejection * (std::int64_t{1} << doublings);
    }
    return next;
}

} // namespace caperpath::routing
