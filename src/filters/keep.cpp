#include "filters/steps.hpp"

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
    bool const not_run =
        request.refusal && request.refusal->kind == request::outcome::not_run;
    return not_run ? request::claim_result::not_run
                   : request::claim_result::unknown;
}

// Another router runs this request since this one was taken for dead. The
// answers may differ, and only that one is kept and billed.
request::refusal superseded_refusal()
{
    return {http_bad_gateway,
            request::outcome::unknown,
            {1'000},
            "server_error",
            "claim_superseded",
            "Idempotency-Key",
            "this request runs elsewhere; ask again for its answer"};
}

std::optional<request::refusal> enter(context&)
{
    return std::nullopt;
}

} // namespace

void end_claim(context& request)
{
    if (!request.claim_epoch)
    {
        return;
    }
    auto span = child_span(request, "keep");
    auto const end = request.shared.claims.finish(
        {request.id, *request.claim_epoch, result_of(request),
         request.idempotent(), request.cost_so_far(),
         request.answer.value_or(request::kept_answer{}), request.bill()});
    request.claim_epoch.reset();
    // A call that is not idempotent is never run by a second runner: its answer
    // is the only one there is, and withholding it would lose it.
    bool const superseded =
        end == request::claim_end::superseded && request.idempotent();
    if (superseded)
    {
        request.state = progress::refused;
        request.refusal = superseded_refusal();
    }
    if (end != request::claim_end::kept)
    {
        observe::log_warning({"keep", request.id.value, {}},
                             end == request::claim_end::pending
                                 ? "the answer is not kept yet"
                                 : "a later runner holds the claim");
    }
    finish_span(request, std::move(span));
}

filter keep_filter()
{
    // After `reserve` in the list, so that it is left before it: a run that has
    // lost its claim must not be billed, for the winner is.
    return {"keep", enter, end_claim};
}

} // namespace caperpath::filters
