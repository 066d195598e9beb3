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

bool may_send_again(attempt_state const& state, attempt_end end)
{
    if (state.sends >= max_sends)
    {
        return false;
    }
    switch (end)
    {
    case attempt_end::not_reached:
    case attempt_end::not_run:
    case attempt_end::wrong_server:
        return state.runs < state.max_servers;
    case attempt_end::failed:
    case attempt_end::in_doubt:
        return may_run_again(state) && state.runs < state.max_servers;
    case attempt_end::answered:
    case attempt_end::expired:
    case attempt_end::caller_gone:
        break;
    }
    return false;
}

int final_status(attempt_state const& state, attempt_end end)
{
    if (state.runs == 0)
    {
        return http_unavailable;
    }
    return end == attempt_end::expired ? http_gateway_timeout
                                       : http_bad_gateway;
}

} // namespace caperpath::fleet
