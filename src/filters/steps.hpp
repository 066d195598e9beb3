#ifndef CAPERPATH_SRC_FILTERS_STEPS_HPP
#define CAPERPATH_SRC_FILTERS_STEPS_HPP

#include "filters/chain.hpp"

namespace caperpath::filters
{

/// Opens the request's span; at the end counts it and writes its log line.
filter account_filter();

/// Refuses what is read when a planned stop gives up open work already.
filter drain_filter();

/// Finds the customer by the bearer key, and the configuration version that
/// this request keeps to its end.
filter authenticate_filter();

/// Takes the body apart and checks it, finds the model or service call.
filter understand_filter();

/// Gives the request its id. With an idempotency key it takes the claim, so
/// that a repeat through another router finds this one.
filter identify_filter();

/// Holds the customer's limits.
filter limit_filter();

/// Sets the worst case aside; at the end bills what was used.
filter reserve_filter();

/// Ends the claim when the request has ended, before it is billed: keeps its
/// answer for whoever asks again.
filter keep_filter();

/// What `keep` does when it is left. Idempotent; `identify` does it for a
/// request that a later filter refused.
void end_claim(context& request);

/// Sends the request to a backend server and waits for the first token or, for
/// a plain service, the whole answer.
filter dispatch_filter();

} // namespace caperpath::filters

#endif
