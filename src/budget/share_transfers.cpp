#include <caperpath/budget/share.hpp>

#include <utility>
#include <vector>

/// Tokens received from and sent to other routers.
namespace caperpath::budget
{

share_state inherit(share_state state, token_count granted, token_count spent,
                    std::uint64_t version)
{
    state.share = {granted, 0};
    state.share_version = version;
    state.settled += spent;
    return state;
}

share_state add_received(share_state state, token_count tokens)
{
    state.received += tokens;
    return state;
}

share_state spend_transfer(share_state state, request_id const& request)
{
    auto const found = state.open.find(request);
    if (found == state.open.end())
    {
        return state;
    }
    state.reserved -= found->second;
    state.settled += found->second;
    state.given += found->second;
    state.open.erase(found);
    return state;
}

decision_step reject_uncovered(share_state state, duration retry_after,
                               instant now)
{
    std::vector<decided_reservation> answers;
    std::vector<waiting_reservation> left;
    auto covered = free_tokens(state);
    for (auto const& one : std::exchange(state.waiting, {}))
    {
        if (one.is_transfer || one.amount <= covered)
        {
            covered -= one.amount;
            left.push_back(one);
            continue;
        }
        // A router that rejects requests for lack of tokens needs more.
        state.rate = metered(state.rate, one.amount, now);
        answers.push_back(
            {one.request, {reserve_verdict::exhausted, retry_after}});
    }
    state.waiting = std::move(left);
    return {std::move(state), std::move(answers)};
}

} // namespace caperpath::budget
