#ifndef CAPERPATH_ROUTING_BACKEND_VIEW_HPP
#define CAPERPATH_ROUTING_BACKEND_VIEW_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/request/retry.hpp>

#include <cstdint>
#include <string>

namespace caperpath::routing
{

/// What one router knows of one backend server: its own dispatches, which are
/// exact, and the server's last load report, which lags. Immutable value.
struct backend_view
{
    backend_server_id id;
    std::string address; ///< "IP:port"
    std::string serves;
    failure_domain_id failure_domain;
    bool leaving{false};

    std::int64_t outstanding{0}; ///< own requests open there
    std::int64_t reported_running{0};
    std::int64_t reported_queued{0};
    std::int64_t slots{0};
    instant reported_at;

    std::int64_t failures{0}; ///< in a row
    instant set_aside_until;
    request::gap_tracker gaps;

    friend bool operator==(backend_view const&, backend_view const&) = default;
};

/// Thread safe, pure. True when new work may be sent there at `now`.
bool usable(backend_view const& backend, instant now);

/// Thread safe, pure. An exchange ended well: failures are forgotten.
backend_view succeeded(backend_view const& backend);

/// Thread safe, pure. An exchange failed for the server's fault. After three
/// in a row the server is set aside for a time that doubles from 0.5 s to 8 s;
/// one request then probes it.
backend_view failed(backend_view const& backend, instant now);

} // namespace caperpath::routing

#endif
