#ifndef CAPERPATH_SRC_ROUTER_FRONT_HPP
#define CAPERPATH_SRC_ROUTER_FRONT_HPP

#include "filters/context.hpp"
#include "http/server.hpp"

#include <functional>
#include <string>

namespace caperpath::router
{

/// What the status pages show. Each function is called from any thread.
struct status_pages
{
    std::function<bool()> ready;
    std::function<std::string()> health; ///< JSON
};

/// Registers the callers' and the operators' routes on `server`.
/// @pre `shared` outlives the server; the server has not been started
void register_routes(http::server& server, filters::services const& shared,
                     status_pages const& pages);

} // namespace caperpath::router

#endif
