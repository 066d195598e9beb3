#include "gateway/gateway.hpp"

#include "gateway/requests/exchange.hpp"
#include "gateway/run_after.hpp"

#include <algorithm>
#include <limits>

/// The end of a planned stop: no connection ends with a request unread.
namespace caperpath::gateway
{

namespace
{

/// The responses only have to be handed to the kernel.
constexpr duration max_closing_time{100};
/// New connections are served for this long: their first request is in flight.
constexpr duration new_connection_time{20};
constexpr duration closing_turn{5};

} // namespace

void gateway_server::close_listeners()
{
    constexpr auto all = std::numeric_limits<int>::max();
    auto const close = [](tcp::acceptor& acceptor)
    {
        boost::system::error_code ignored; // the socket is closed in any case
        acceptor.close(ignored);
    };
    this->accept_queued(this->routers, this->serve_routers(), all);
    close(this->routers);
    this->accept_queued(this->callers, this->serve_callers(), all);
    close(this->callers);
    close(this->readiness);
    close(this->metrics);
}

bool gateway_server::callers_wait() const
{
    auto const& shared = this->shared;
    auto const has_input = [](connection* caller)
    {
        return caller->unsent() > 0 || caller->has_input() ||
               caller->has_unread_input();
    };
    return shared.callers.size() > shared.idle_callers.size() ||
           std::any_of(shared.callers.begin(), shared.callers.end(), has_input);
}

void gateway_server::close_connections()
{
    auto& shared = this->shared;
    shared.closing_connections = true;
    for (auto* const open : shared.open_requests)
    {
        expire_deadline(*open);
    }
    this->wake_sessions();
    this->loop.restart();
    // Before other work, which could take long.
    this->close_listeners();
    auto const began = shared.now.now();
    this->run(
        [&]
        {
            auto goes_on = true;
            while (goes_on)
            {
                this->loop.restart();
                this->loop.run_for(to_chrono(closing_turn));
                this->loop.poll();
                auto const span = shared.now.now() - began;
                goes_on = !shared.callers.empty() && span < max_closing_time &&
                          (span < new_connection_time || this->callers_wait());
            }
        });
    for (auto* const caller : shared.callers)
    {
        caller->close();
    }
}

} // namespace caperpath::gateway
