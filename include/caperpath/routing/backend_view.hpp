#ifndef CAPERPATH_ROUTING_BACKEND_VIEW_HPP
#define CAPERPATH_ROUTING_BACKEND_VIEW_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/request/retry.hpp>

#include <cstdint>
#include <string>

namespace caperpath::routing
{

/// One router's state for one backend server: the router's own open requests,
/// which are exact, and the server's last load report, which lags. Immutable
/// value.
struct backend_view
{
    backend_server_id id;
    std::string address; ///< "IP:port"
    std::string serves;
    failure_domain_id failure_domain;
    bool draining{false};

    std::int64_t outstanding{0}; ///< open requests of this router
    std::int64_t reported_running{0};
    std::int64_t reported_queued{0};
    std::int64_t slots{0};
    instant reported_at;

    std::int64_t consecutive_failures{0}; ///< consecutive
    instant ejected_until;
    request::gap_tracker gaps;

    friend bool operator==(backend_view const&, backend_view const&) = default;
};

/// Thread safe, pure. True if new work may be sent to the server at `now`.
bool usable(backend_view const& backend, instant now);

/// Thread safe, pure. Records a successful exchange; resets the failures.
backend_view record_success(backend_view const& backend);

/// Thread safe, pure. Records an exchange that the server failed. Three or more
/// consecutive failures eject the server for a time that doubles from 0.5 s to
/// 8 s. After that it is usable again, and another failure ejects it at once.
backend_view record_failure(backend_view const& backend, instant now);

} // namespace caperpath::routing

#endif
