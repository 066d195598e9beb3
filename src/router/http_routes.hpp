#ifndef CAPERPATH_SRC_ROUTER_HTTP_ROUTES_HPP
#define CAPERPATH_SRC_ROUTER_HTTP_ROUTES_HPP

#include "filters/context.hpp"
#include "http/server.hpp"

#include <functional>
#include <string>

namespace caperpath::router
{

/// Sources of the status pages. Each function may be called from any thread.
struct status_pages
{
    std::function<bool()> ready;
    std::function<std::string()> health; ///< JSON
};

/// Registers the HTTP routes for callers and operators on `server`.
/// @pre `shared` outlives the server; the server has not been started
void register_routes(http::server& server,
                     filters::request_dependencies const& shared,
                     status_pages const& pages);

} // namespace caperpath::router

#endif
