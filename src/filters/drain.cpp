#include "filters/request_filters.hpp"

namespace caperpath::filters
{

namespace
{

// Later filters may wait for the store although the request cannot complete.
std::optional<request::rejection> enter(context& request)
{
    if (!shutdown_due(request))
    {
        return std::nullopt;
    }
    auto rejection = shutdown_rejection(false);
    if (!request.in.idempotency_key.empty())
    {
        // An earlier attempt may have run elsewhere.
        rejection.kind = request::outcome::unknown;
    }
    return rejection;
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
