#ifndef CAPERPATH_SRC_FILTERS_REQUEST_FILTERS_HPP
#define CAPERPATH_SRC_FILTERS_REQUEST_FILTERS_HPP

#include "filters/chain.hpp"

namespace caperpath::filters
{

/// Opens the request's span; on leave counts the request and logs it.
filter account_filter();

/// Rejects requests that are read after a planned stop has begun to abort open
/// requests.
filter drain_filter();

/// Finds the customer by the bearer key and pins the configuration version for
/// the lifetime of the request.
filter authenticate_filter();

/// Parses and validates the body; finds the model or service call.
filter parse_filter();

/// Assigns the request id. With an idempotency key it also takes the claim, so
/// that a retry through another router finds this request.
filter identify_filter();

/// Enforces the customer's limits.
filter limit_filter();

/// Reserves the worst-case cost; on leave bills the actual cost.
filter reserve_filter();

/// Finishes the claim after the request has ended and before it is billed, and
/// stores the response for retries.
filter store_response_filter();

/// Finishes the claim of the request. Called when `keep` is left, and by
/// `identify` for a request that a later filter rejected. Idempotent.
void finish_request_claim(context& request);

/// Prepares the relay of a chat request, or calls a plain service and waits for
/// its complete response.
filter dispatch_filter();

} // namespace caperpath::filters

#endif
