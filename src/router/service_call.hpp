#ifndef CAPERPATH_SRC_ROUTER_SERVICE_CALL_HPP
#define CAPERPATH_SRC_ROUTER_SERVICE_CALL_HPP

#include "filters/context.hpp"

#include <variant>

namespace caperpath::router
{

/// Calls a plain service and waits for its whole answer. A call that is not
/// idempotent goes out again only when the attempt before it provably did not
/// run. Blocks until the request's deadline at the longest.
/// @pre `request` holds a service request
std::variant<request::kept_answer, request::refusal>
call_service(filters::context& request);

} // namespace caperpath::router

#endif
