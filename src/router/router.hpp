#ifndef CAPERPATH_SRC_ROUTER_ROUTER_HPP
#define CAPERPATH_SRC_ROUTER_ROUTER_HPP

#include "router/settings.hpp"

#include <caperpath/base/error.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace caperpath::router
{

/// What a planned stop left behind. Immutable value.
struct stop_report
{
    std::int64_t unsettled_bills{0};
    std::int64_t budgets_with_shares{0};
    std::int64_t unended_claims{0};
    bool clean{true};

    friend bool operator==(stop_report const&, stop_report const&) = default;
};

/// One router process: the callers' front, the actors that own its state, and
/// their connections to the platform. Not thread safe, but for what it serves.
class router
{
public:
    /// `incarnation` is new for each start of the process; `seed` gives the
    /// ids and the jitter.
    router(settings given, std::string incarnation, std::uint64_t seed);
    ~router();

    router(router const&) = delete;
    router& operator=(router const&) = delete;

    /// Binds and serves. Returns the port; `unavailable` when the address is
    /// taken or the file for spans cannot be opened.
    result<int> start();

    /// True once an operator has ordered this incarnation to drain; `stop` it
    /// then. @pre started
    bool drain_ordered() const;

    /// Graceful shutdown: not ready, waits for the balancer's lag, takes no
    /// new connections, lets open answers end (up to the drain bound), settles
    /// bills and returns shares. Blocks. Call once.
    stop_report stop();

    /// Leaves the platform as a crash here would: from now on nothing of this
    /// router reaches it. Requests that run find out by themselves, and `stop`
    /// waits for nothing. For tests of what others do then. Thread safe.
    void cut_off();

private:
    struct parts;
    std::unique_ptr<parts> inside;
};

} // namespace caperpath::router

#endif
