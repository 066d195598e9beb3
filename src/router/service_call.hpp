#ifndef CAPERPATH_SRC_ROUTER_SERVICE_CALL_HPP
#define CAPERPATH_SRC_ROUTER_SERVICE_CALL_HPP

#include "filters/context.hpp"

#include <variant>

namespace caperpath::router
{

/// Calls a plain service and waits for its complete response. Retries a call
/// that is not idempotent only if the previous attempt provably did not run.
/// Blocks at most until the request's deadline.
/// @pre `request` holds a service request
std::variant<request::stored_response, request::rejection>
call_service(filters::context& request);

} // namespace caperpath::router

#endif
