#include <caperpath/base/http_status.hpp>
#include <caperpath/fleet/attempt.hpp>

namespace caperpath::fleet
{

bool may_run_again(attempt_state const& state)
{
    switch (state.kind)
    {
    case request_kind::idempotent:
        return true;
    case request_kind::streaming:
        return state.resumable;
    case request_kind::non_idempotent:
        break;
    }
    return false;
}

bool may_try_another_server(attempt_state const& state, attempt_outcome end)
{
    if (state.sends >= max_sends)
    {
        return false;
    }
    switch (end)
    {
    case attempt_outcome::not_reached:
    case attempt_outcome::not_run:
    case attempt_outcome::wrong_server:
        return state.runs < state.max_servers;
    case attempt_outcome::failed:
    case attempt_outcome::in_doubt:
        return may_run_again(state) && state.runs < state.max_servers;
    case attempt_outcome::responded:
    case attempt_outcome::expired:
    case attempt_outcome::caller_gone:
        break;
    }
    return false;
}

int final_status(attempt_state const& state, attempt_outcome end)
{
    if (state.runs == 0)
    {
        return http_unavailable;
    }
    return end == attempt_outcome::expired ? http_gateway_timeout
                                           : http_bad_gateway;
}

} // namespace caperpath::fleet
