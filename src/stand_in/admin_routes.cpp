#include "stand_in/admin_routes.hpp"

#include "http/cut_connection.hpp"
#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

/// Rejects a request to a draining backend server; nothing was run.
void reply_draining(httplib::Response& response)
{
    reply_not_run(response, "leaving, takes no new work");
    response.set_header("Caperpath-Leaving", "true");
}

} // namespace

void add_fault_routes(httplib::Server& server, fault_registry& board,
                      std::vector<std::string> kinds,
                      std::function<void(fault_command const&)> accept)
{
    server.Post(
        "/faults",
        [kinds = std::move(kinds), accept = std::move(accept)](
            httplib::Request const& request, httplib::Response& response)
        {
            std::vector<config::fault> errors;
            auto const fault = parse_fault(parse_body(request), kinds, errors);
            if (!errors.empty())
            {
                reply_faults(response, errors);
                return;
            }
            accept(fault);
            reply_json(response, 200, {{"standing", fault.kind}});
        });
    server.Delete("/faults",
                  [&board](httplib::Request const&, httplib::Response& response)
                  {
                      board.clear();
                      reply_json(response, 200, {{"cleared", true}});
                  });
}

void add_outage(httplib::Server& server, fault_registry& board,
                std::vector<std::string> exempt_paths)
{
    server.set_pre_routing_handler(
        [&board, exempt_paths = std::move(exempt_paths)](
            httplib::Request const& request, httplib::Response&)
        {
            auto const exempt = std::find(exempt_paths.begin(),
                                          exempt_paths.end(), request.path);
            if (exempt != exempt_paths.end() || !board.take("outage"))
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            http::cut_connection(request);
            return httplib::Server::HandlerResponse::Handled;
        });
}

void add_command_route(httplib::Server& server, command_handler& desk,
                       std::function<void()> changed)
{
    server.Post(
        "/orders",
        [&desk, changed = std::move(changed)](httplib::Request const& request,
                                              httplib::Response& response)
        {
            std::vector<config::fault> errors;
            auto const order = parse_order(parse_body(request), errors);
            if (!errors.empty())
            {
                reply_faults(response, errors);
                return;
            }
            auto const applied = desk.apply(order);
            if (applied)
            {
                changed();
            }
            auto state = desk.state();
            state["obeyed"] = applied;
            reply_json(response, applied ? 200 : 409, state);
        });
}

bool rejected_by_fault_or_drain(fault_registry& faults,
                                command_handler const& orders,
                                stop_signal& stopping,
                                httplib::Response& response)
{
    if (auto const delay = faults.take("delay"))
    {
        stopping.wait(delay->span);
    }
    if (faults.take("error"))
    {
        reply_error(response, 500, "server_error", "ordered by a fault");
        return true;
    }
    if (orders.leaving())
    {
        reply_draining(response);
        return true;
    }
    return false;
}

} // namespace caperpath::stand_in
