#ifndef CAPERPATH_SRC_ROUTER_ROUTER_HPP
#define CAPERPATH_SRC_ROUTER_ROUTER_HPP

#include "router/settings.hpp"

#include <caperpath/base/error.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace caperpath::router
{

/// State that a planned stop could not clean up. Immutable value.
struct stop_report
{
    std::int64_t unsettled_bills{0};
    std::int64_t budgets_with_shares{0};
    std::int64_t unfinished_claims{0};
    bool clean{true};

    friend bool operator==(stop_report const&, stop_report const&) = default;
};

/// One router process: the HTTP server for callers, the actors that own the
/// state, and their connections to the platform. Not thread safe, except for
/// the requests that it serves.
class router
{
public:
    /// `incarnation` is unique for each start of the process; `seed` seeds the
    /// ids and the jitter.
    router(settings given, std::string incarnation, std::uint64_t seed);
    ~router();

    router(router const&) = delete;
    router& operator=(router const&) = delete;

    /// Binds and starts serving. Returns the port; fails with `unavailable` if
    /// the address cannot be bound or the span file cannot be opened.
    result<int> start();

    /// True once an operator has commanded this incarnation to drain; then call
    /// `stop`. @pre started
    bool drain_commanded() const;

    /// Shuts down gracefully: reports not ready, waits for the balancer's lag,
    /// accepts no new connections, lets open responses end (up to the drain
    /// bound), settles bills and returns shares. Blocks. Call once.
    stop_report stop();

    /// Emulates a crash of this router: from now on none of its calls reach the
    /// platform. Running requests are not notified, and `stop` waits for
    /// nothing. For tests of how other routers recover. Thread safe.
    void disconnect();

private:
    struct components;
    std::unique_ptr<components> owned;
};

} // namespace caperpath::router

#endif
