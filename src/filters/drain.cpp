#include "filters/steps.hpp"

namespace caperpath::filters
{

namespace
{

// Later filters may wait for the store, and nothing would come of it.
std::optional<request::refusal> enter(context& request)
{
    if (!stop_is_due(request))
    {
        return std::nullopt;
    }
    auto refused = stop_refusal(false);
    if (!request.in.idempotency_key.empty())
    {
        // An earlier try may have run elsewhere.
        refused.kind = request::outcome::unknown;
    }
    return refused;
}

void leave(context&)
{
}

} // namespace

filter drain_filter()
{
    return {"drain", enter, leave};
}

} // namespace caperpath::filters
