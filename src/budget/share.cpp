#include <caperpath/budget/share.hpp>

#include "share_rules.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr duration ask_again{1'000};
/// While other routers give tokens back the row changes more often than this.
constexpr duration unchanged_for{5'000};

bool is_known(share_state const& state, request_id const& request)
{
    auto const same = [&request](waiting_reservation const& one)
    {
        return one.request == request;
    };
    return state.open.contains(request) ||
           std::any_of(state.waiting.begin(), state.waiting.end(), same);
}

void admit(share_state& state, request_id const& request, token_count amount,
           bool is_transfer, instant now)
{
    state.open.emplace(request, amount);
    state.reserved += amount;
    state.rate = metered(state.rate, is_transfer ? 0 : amount, now);
}

/// Under overspend_first a bill must be durable before its answer ends. Work
/// admitted while the store is away could not be billed in time.
bool store_is_missing(share_state const& state, instant now)
{
    return state.policy == config::budget_policy::overspend_first &&
           state.down_since &&
           now - *state.down_since >= state.sizes.store_down_after;
}

bool fits(share_state const& state, token_count amount)
{
    auto const within_limit =
        !state.spend_limit || used_tokens(state) + amount <= *state.spend_limit;
    return within_limit && amount <= reservable(state);
}

/// The row was seen after the reservation came, so a top-up before it counts.
bool seen_since(share_state const& state, instant at)
{
    return state.seen && state.seen->at >= at;
}

/// True when even with every other holder's whole share the budget does not
/// cover `amount`.
bool beyond_everything(share_state const& state, token_count amount)
{
    auto const& row = state.seen->row;
    // What former holders gave away before they retired is not spent yet.
    auto const retired = state.has_peers ? 0 : row.retired;
    return amount > row.paid - retired - (used_tokens(state) - state.given);
}

bool waited_in_vain(share_state const& state, token_count amount)
{
    return state.fruitless && amount >= state.fruitless->amount &&
           state.seen->version == state.fruitless->budget_version &&
           state.seen->at - state.fruitless->since >= unchanged_for;
}

/// A wait for as much ended with nothing a moment ago. Were each request at the
/// end of a budget to wait and look for itself, a large fleet would spend most
/// of its calls to the store on refusals.
bool just_waited_in_vain(share_state const& state, token_count amount,
                         instant now)
{
    return state.fruitless && amount >= state.fruitless->amount &&
           now - state.fruitless->last <
               state.sizes.refuse_at_once * state.seen->row.holders;
}

reserve_reply undecidable(share_state const& state, instant now)
{
    return {reserve_verdict::undecidable,
            std::max(ask_again, state.retry_at - now)};
}

/// True when what all routers told that they spent leaves less than `amount`:
/// no share that comes back will cover it.
bool spent_by_all(share_state const& state, token_count amount, instant now)
{
    // Cut off from the store, this router may not know of a top-up.
    return state.dealt && !state.has_peers &&
           seen_since(state, now - state.sizes.fresh) &&
           amount > state.seen->row.paid - state.seen->row.retired -
                        state.dealt->spent_by_all;
}

reserve_reply exhausted(share_state const& state, token_count amount,
                        instant now)
{
    if (spent_by_all(state, amount, now))
    {
        return {reserve_verdict::exhausted, duration{0}};
    }
    // Tokens in the shares of others may come back; a used up budget won't.
    auto const elsewhere =
        state.seen->row.granted - state.seen->row.retired - state.share.granted;
    auto const may_come =
        state.has_peers ? !beyond_everything(state, amount) : elsewhere > 0;
    return {reserve_verdict::exhausted, may_come ? ask_again : duration{0}};
}

void note_fruitless(share_state& state, token_count amount, instant now)
{
    if (state.has_peers)
    {
        return; // whoever gives tells when there are none
    }
    auto const version = state.seen->version;
    if (!state.fruitless || state.fruitless->budget_version != version)
    {
        state.fruitless = fruitless_wait{amount, version, now, now};
        return;
    }
    state.fruitless->amount = std::min(state.fruitless->amount, amount);
    state.fruitless->last = now;
}

/// The reply to a reservation that does not fit now, if it is time for one.
std::optional<reserve_reply> refuse(share_state& state,
                                    waiting_reservation const& one, instant now)
{
    if (state.fenced || state.closing)
    {
        return undecidable(state, now);
    }
    if (seen_since(state, one.since) && (beyond_everything(state, one.amount) ||
                                         waited_in_vain(state, one.amount)))
    {
        return exhausted(state, one.amount, now);
    }
    if (one.until > now)
    {
        return std::nullopt;
    }
    auto const reachable =
        seen_since(state, one.since) && !state.floor && !state.down_since;
    auto const covered =
        reachable &&
        one.amount <= free_tokens(state) + ungranted(state.seen->row);
    if (!reachable || covered)
    {
        return undecidable(state, now);
    }
    note_fruitless(state, one.amount, now);
    return exhausted(state, one.amount, now);
}

} // namespace

share_state make_share(budget_id budget, config::budget_policy policy,
                       sizing sizes)
{
    share_state state;
    state.budget = std::move(budget);
    state.policy = policy;
    state.sizes = sizes;
    return state;
}

share_row usable(share_state const& state)
{
    auto row = state.share;
    auto const lower = [&row](share_row const& other)
    {
        row.granted = std::min(row.granted, other.granted);
        row.exposed = std::min(row.exposed, other.exposed);
    };
    if (state.planned && state.planned->retires)
    {
        lower({});
    }
    if (state.planned && state.planned->share)
    {
        lower(*state.planned->share);
    }
    if (state.floor)
    {
        lower(*state.floor);
    }
    return row;
}

token_count waiting_tokens(share_state const& state)
{
    token_count all = 0;
    for (auto const& one : state.waiting)
    {
        all += one.amount;
    }
    return all;
}

token_count used_tokens(share_state const& state)
{
    return state.settled + state.unsettled + state.reserved;
}

token_count free_tokens(share_state const& state)
{
    return std::max<token_count>(0, usable(state).granted + state.received -
                                        used_tokens(state));
}

token_count reservable(share_state const& state)
{
    auto const free = free_tokens(state);
    if (state.policy == config::budget_policy::overspend_first)
    {
        return free;
    }
    // With so many bills unsettled the answer to new work could not end.
    auto const open =
        state.unsettled > 0 && state.unsettled >= usable(state).exposed;
    return open ? 0 : free;
}

reserve_step reserve(share_state state, reserve_request const& request,
                     instant now)
{
    if (state.policy != request.policy)
    {
        state.policy = request.policy;
        state.sizes = sizing_for(request.policy);
    }
    auto const blocked =
        state.fenced || state.closing || store_is_missing(state, now);
    if (request.amount < 0 || blocked || is_known(state, request.request))
    {
        auto const reply = undecidable(state, now);
        return {std::move(state), reply};
    }
    if (!request.is_transfer)
    {
        state.last_amount = request.amount;
    }
    if (fits(state, request.amount))
    {
        admit(state, request.request, request.amount, request.is_transfer, now);
        return {std::move(state),
                reserve_reply{reserve_verdict::admitted, duration{0}}};
    }
    if (spent_by_all(state, request.amount, now) ||
        (state.seen && just_waited_in_vain(state, request.amount, now)))
    {
        auto const reply = exhausted(state, request.amount, now);
        return {std::move(state), reply};
    }
    // A row seen just now decides as well as one that would be read again.
    if (seen_since(state, now - state.sizes.near_end_look) &&
        (beyond_everything(state, request.amount) ||
         waited_in_vain(state, request.amount)))
    {
        auto const reply = exhausted(state, request.amount, now);
        return {std::move(state), reply};
    }
    state.waiting.push_back({request.request, request.amount, now,
                             now + request.wait, request.is_transfer});
    return {std::move(state), std::nullopt};
}

finish_step finish(share_state state, finish_request const& request,
                   instant now)
{
    auto const found = state.open.find(request.cost.request);
    if (found == state.open.end())
    {
        return {std::move(state), false, false, request.cost};
    }
    auto const reserved = found->second;
    auto cost = request.cost;
    // A cost above the reservation was never set aside: billing it would spend
    // tokens that another holder may have.
    cost.tokens = std::clamp<token_count>(cost.tokens, 0, reserved);
    state.open.erase(found);
    state.reserved -= reserved;
    state.unsettled += cost.tokens;
    state.rate = metered(state.rate, cost.tokens - reserved, now);
    // An answer may end before its bill is durable. If this router died then,
    // the recovery would give the tokens out again and the customer would use
    // them twice. It holds back `exposed`, so no more may be unsettled than
    // that.
    auto const may_end =
        request.policy == config::budget_policy::false_refusals_first &&
        state.unsettled <= usable(state).exposed;
    return {std::move(state), true, may_end, std::move(cost)};
}

share_state cancel(share_state state, request_id const& request)
{
    std::erase_if(state.waiting, [&request](waiting_reservation const& one)
                  { return one.request == request; });
    auto const found = state.open.find(request);
    if (found != state.open.end())
    {
        state.reserved -= found->second;
        state.open.erase(found);
    }
    return state;
}

share_state settled(share_state state, token_count tokens)
{
    state.unsettled -= tokens;
    state.settled += tokens;
    return state;
}

answer_step answer_waiting(share_state state, instant now)
{
    std::vector<answered_reservation> answers;
    std::vector<waiting_reservation> left;
    auto const waiting = std::exchange(state.waiting, {});
    for (auto const& one : waiting)
    {
        if (!state.fenced && !state.closing && fits(state, one.amount))
        {
            admit(state, one.request, one.amount, one.is_transfer, now);
            answers.push_back({one.request, {reserve_verdict::admitted, {}}});
            continue;
        }
        auto const reply = refuse(state, one, now);
        if (reply)
        {
            // A router that refuses for want of tokens needs more of them.
            state.rate =
                state.dealt ? metered(state.rate, one.amount, now) : state.rate;
            answers.push_back({one.request, *reply});
            continue;
        }
        left.push_back(one);
    }
    state.waiting = std::move(left);
    return {std::move(state), std::move(answers)};
}

share_state close(share_state state)
{
    state.closing = true;
    return state;
}

bool is_closed(share_state const& state)
{
    return state.share_version == 0 && !state.floor && !state.busy;
}

} // namespace caperpath::budget
