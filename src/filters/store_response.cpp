#include "filters/request_filters.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

namespace caperpath::filters
{

namespace
{

request::claim_result result_of(context const& request)
{
    if (request.state == progress::completed)
    {
        return request::claim_result::completed;
    }
    bool const not_run = request.rejection &&
                         request.rejection->kind == request::outcome::not_run;
    return not_run ? request::claim_result::not_run
                   : request::claim_result::unknown;
}

// Another router considered this one dead and now runs the request. The two
// responses may differ, and only the other one is stored and billed.
request::rejection superseded_rejection()
{
    return {http_bad_gateway,
            request::outcome::unknown,
            {1'000},
            "server_error",
            "claim_superseded",
            "Idempotency-Key",
            "this request runs elsewhere; ask again for its answer"};
}

std::optional<request::rejection> enter(context&)
{
    return std::nullopt;
}

} // namespace

void finish_request_claim(context& request)
{
    if (!request.claim_epoch)
    {
        return;
    }
    auto span = child_span(request, "keep");
    auto const finished = request.shared.claims.finish(
        {request.id, *request.claim_epoch, result_of(request),
         request.idempotent(), request.cost_so_far(),
         request.response.value_or(request::stored_response{}),
         request.bill()});
    request.claim_epoch.reset();
    // A call that is not idempotent is never run by a second router, so its
    // response is the only one and withholding it would lose it.
    bool const superseded =
        finished == request::finish_result::superseded && request.idempotent();
    if (superseded)
    {
        request.state = progress::rejected;
        request.rejection = superseded_rejection();
    }
    if (finished != request::finish_result::stored)
    {
        observe::log_warning({"keep", request.id.value, {}},
                             finished == request::finish_result::pending
                                 ? "the response is not stored yet"
                                 : "another router has taken over the claim");
    }
    finish_span(request, std::move(span));
}

filter store_response_filter()
{
    // Listed after `reserve` and therefore left before it: a run that has lost
    // its claim must not be billed, because the run that took it over is.
    return {"keep", enter, finish_request_claim};
}

} // namespace caperpath::filters
