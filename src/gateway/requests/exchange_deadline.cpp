#include "gateway/requests/exchange.hpp"

#include <algorithm>

/// How long a request may take.
namespace caperpath::gateway
{

namespace
{

/// Upper bound for requests whose caller sets no time limit; the timeout of the
/// route still applies.
constexpr duration max_request_timeout{600'000};

std::string_view path_of(caller_request const& request)
{
    auto const target = request.target();
    std::string_view const text{target.data(), target.size()};
    return text.substr(0, text.find('?'));
}

} // namespace

fleet::route const* route_of(exchange const& current, fleet::site const& site)
{
    auto const host = current.request[http::field::host];
    return site.find_route({host.data(), host.size()},
                           path_of(current.request));
}

instant deadline_of(exchange const& current, fleet::route const& route)
{
    return current.arrived +
           std::min(current.facts.timeout.value_or(max_request_timeout),
                    route.timeout);
}

void adopt_longer_timeouts(core& shared, fleet::site const& newer,
                           instant since)
{
    for (auto* const open : shared.open_requests)
    {
        auto const* const route = route_of(*open, newer);
        if (open->route == nullptr || open->arrived + open->unread < since ||
            route == nullptr || open->deadline_from_stop ||
            deadline_of(*open, *route) <= open->deadline)
        {
            continue;
        }
        open->deadline = deadline_of(*open, *route);
        if (shared.stop)
        {
            limit_deadline_to_stop(*open);
        }
        // It waits until the deadline before.
        open->wakeup->raise();
    }
}

} // namespace caperpath::gateway
