#ifndef CAPERPATH_STAND_IN_ADMIN_ROUTES_HPP
#define CAPERPATH_STAND_IN_ADMIN_ROUTES_HPP

#include "stand_in/fault_board.hpp"
#include "stand_in/order_desk.hpp"
#include "stand_in/stop_signal.hpp"

#include <httplib.h>

#include <functional>
#include <string>
#include <vector>

/// Routes that both stand-ins have. Register before the server starts; what
/// is passed by reference outlives the server.
namespace caperpath::stand_in
{

/// `POST /faults` and `DELETE /faults`. `accept` gets each checked fault and
/// adds it to the board or acts on it at once.
void add_fault_routes(httplib::Server& server, fault_board& board,
                      std::vector<std::string> kinds,
                      std::function<void(ordered_fault const&)> accept);

/// While an outage stands, every call but those to `spared` paths ends without
/// an answer.
void add_outage(httplib::Server& server, fault_board& board,
                std::vector<std::string> spared);

/// `POST /orders`: 409 for an old fencing number. `changed` is called after an
/// order took effect.
void add_order_route(httplib::Server& server, order_desk& desk,
                     std::function<void()> changed);

/// What was ordered for every request, chat or call: a delay, then an error or
/// the refusal of a leaving server. True when `response` is the answer. Thread
/// safe.
bool refused_by_order(fault_board& faults, order_desk const& orders,
                      stop_signal& stopping, httplib::Response& response);

} // namespace caperpath::stand_in

#endif
