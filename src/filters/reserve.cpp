#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>

namespace caperpath::filters
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;

config::budget_policy policy_of(context const& request)
{
    return request.document->budgets.at(request.customer_settings->budget)
        .policy;
}

request::rejection rejection_of(budget::reserve_reply const& reply)
{
    if (reply.verdict == budget::reserve_verdict::exhausted)
    {
        return {http_payment_required,
                request::outcome::not_run,
                reply.retry_after,
                "insufficient_quota",
                "budget_exhausted",
                "",
                "the prepaid budget does not cover this request"};
    }
    return {http_unavailable,
            request::outcome::not_run,
            reply.retry_after,
            "server_error",
            "budget_undecidable",
            "",
            "whether the budget covers this request cannot be told now"};
}

std::optional<request::rejection> enter(context& request)
{
    if (request.replayed)
    {
        return std::nullopt;
    }
    auto span = child_span(request, "reserve");
    auto const wait_start = request.shared.time.now();
    auto const reply = request.shared.budgets.reserve(
        {request.id, request.customer_settings->budget, policy_of(request),
         request.worst_case, request.shared.reserve_wait});
    auto const waited = request.shared.time.now() - wait_start;
    request.shared.metrics->reserve_wait(waited.ms * us_per_ms);
    finish_span(request, std::move(span));
    if (reply.verdict == budget::reserve_verdict::admitted)
    {
        return std::nullopt;
    }
    return rejection_of(reply);
}

// The bill is only in this router's memory because the store accepts no writes,
// and its budget must never be overspent. If the router died now, its share
// would be allocated again although the caller used the response: the ledger
// would balance, but the customer would get more than was paid for.
// So the response is not marked complete. With an idempotency key it is stored,
// and a retry gets it once the bill is written.
void withhold_response(context& request)
{
    request.state = progress::rejected;
    request.rejection = request::rejection{
        http_bad_gateway,
        request::outcome::unknown,
        {5'000},
        "server_error",
        "bill_pending",
        "",
        "the bill cannot be written now; ask again with the same key"};
}

void leave(context& request)
{
    if (request.replayed)
    {
        return;
    }
    request.cost = request.cost_so_far();
    auto span = child_span(request, "settle");
    auto const state = request.shared.budgets.finish(
        {request.bill(), policy_of(request), request.worst_case});
    request.shared.metrics->bill_finished(state);
    finish_span(request, std::move(span));
    bool const at_risk =
        state == budget::bill_state::local &&
        policy_of(request) == config::budget_policy::overspend_first;
    if (at_risk && request.cost > 0 && request.state == progress::completed)
    {
        withhold_response(request);
    }
}

} // namespace

filter reserve_filter()
{
    return {"reserve", enter, leave};
}

} // namespace caperpath::filters
