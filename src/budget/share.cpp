#include <caperpath/budget/share.hpp>

#include "share_rules.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::budget
{

namespace
{

constexpr duration retry_delay{1'000};
/// While other routers return tokens, the row changes more often than this.
constexpr duration min_unchanged_time{5'000};

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

/// Under overspend_first a bill must be durable before its response ends.
/// Requests admitted while the store is unreachable could not be billed in
/// time.
bool store_is_unreachable(share_state const& state, instant now)
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

/// True if the row was read at or after `at`, so that it shows any top-up
/// before `at`.
bool row_read_since(share_state const& state, instant at)
{
    return state.seen && state.seen->at >= at;
}

/// True if the budget does not cover `amount` even with the whole share of
/// every other holder.
bool exceeds_whole_budget(share_state const& state, token_count amount)
{
    auto const& row = state.seen->row;
    // Tokens that former holders sent to other routers before they retired may
    // still be unspent.
    auto const retired = state.has_peers ? 0 : row.retired;
    return amount > row.paid - retired - (used_tokens(state) - state.given);
}

bool wait_is_futile(share_state const& state, token_count amount)
{
    return state.last_unmet_wait && amount >= state.last_unmet_wait->amount &&
           state.seen->version == state.last_unmet_wait->budget_version &&
           state.seen->at - state.last_unmet_wait->since >= min_unchanged_time;
}

/// True if a wait for no more than `amount` ended without success recently. If
/// each request at the end of a budget waited and read the row itself, a large
/// fleet would spend most of its store calls on rejections.
bool wait_failed_recently(share_state const& state, token_count amount,
                          instant now)
{
    return state.last_unmet_wait && amount >= state.last_unmet_wait->amount &&
           now - state.last_unmet_wait->last <
               state.sizes.reject_at_once_for * state.seen->row.holders;
}

reserve_reply undecidable(share_state const& state, instant now)
{
    return {reserve_verdict::undecidable,
            std::max(retry_delay, state.retry_at - now)};
}

/// True if the spending reported by all routers leaves less than `amount`: no
/// returned share will cover it.
bool exceeds_reported_remainder(share_state const& state, token_count amount,
                                instant now)
{
    // Without a connection to the store, this router may not know of a top-up.
    return state.current_allocation && !state.has_peers &&
           row_read_since(state, now - state.sizes.max_row_age) &&
           amount > state.seen->row.paid - state.seen->row.retired -
                        state.current_allocation->spent_by_all;
}

reserve_reply exhausted(share_state const& state, token_count amount,
                        instant now)
{
    if (exceeds_reported_remainder(state, amount, now))
    {
        return {reserve_verdict::exhausted, duration{0}};
    }
    // Tokens in the shares of other holders may be returned; spent ones are
    // not.
    auto const elsewhere =
        state.seen->row.granted - state.seen->row.retired - state.share.granted;
    auto const may_return =
        state.has_peers ? !exceeds_whole_budget(state, amount) : elsewhere > 0;
    return {reserve_verdict::exhausted, may_return ? retry_delay : duration{0}};
}

void record_unmet_wait(share_state& state, token_count amount, instant now)
{
    if (state.has_peers)
    {
        return; // the routers that give tokens report when they have none
    }
    auto const version = state.seen->version;
    if (!state.last_unmet_wait ||
        state.last_unmet_wait->budget_version != version)
    {
        state.last_unmet_wait = unmet_wait{amount, version, now, now};
        return;
    }
    state.last_unmet_wait->amount =
        std::min(state.last_unmet_wait->amount, amount);
    state.last_unmet_wait->last = now;
}

/// The rejection of a reservation that does not fit now; empty if it may still
/// wait.
std::optional<reserve_reply> rejection_if_due(share_state& state,
                                              waiting_reservation const& one,
                                              instant now)
{
    if (state.fenced || state.closing)
    {
        return undecidable(state, now);
    }
    if (row_read_since(state, one.since) &&
        (exceeds_whole_budget(state, one.amount) ||
         wait_is_futile(state, one.amount)))
    {
        return exhausted(state, one.amount, now);
    }
    if (one.until > now)
    {
        return std::nullopt;
    }
    auto const reachable =
        row_read_since(state, one.since) && !state.floor && !state.down_since;
    auto const covered =
        reachable &&
        one.amount <= free_tokens(state) + ungranted(state.seen->row);
    // If covered, the budget has the tokens, but no draw was in time: the
    // caller may retry.
    if (!reachable || covered)
    {
        return undecidable(state, now);
    }
    record_unmet_wait(state, one.amount, now);
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
    // The unsettled bills reach the most that a recovery withholds: the
    // response to another request could not end before its bill is durable.
    auto const exposure_used_up =
        state.unsettled > 0 && state.unsettled >= usable(state).exposed;
    return exposure_used_up ? 0 : free;
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
        state.fenced || state.closing || store_is_unreachable(state, now);
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
    if (exceeds_reported_remainder(state, request.amount, now) ||
        (state.seen && wait_failed_recently(state, request.amount, now)))
    {
        auto const reply = exhausted(state, request.amount, now);
        return {std::move(state), reply};
    }
    // A recently read row decides as reliably as another read would.
    if (row_read_since(state, now - state.sizes.near_end_look) &&
        (exceeds_whole_budget(state, request.amount) ||
         wait_is_futile(state, request.amount)))
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
    // Tokens beyond the reservation were not set aside. Billing them would
    // spend tokens that another holder may have.
    cost.tokens = std::clamp<token_count>(cost.tokens, 0, reserved);
    state.open.erase(found);
    state.reserved -= reserved;
    state.unsettled += cost.tokens;
    state.rate = metered(state.rate, cost.tokens - reserved, now);
    // A response may end before its bill is durable. If this router died then,
    // the recovery would return the tokens to the budget and the customer would
    // use them twice. The recovery holds back `exposed`, so at most that much
    // may be unsettled.
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

decision_step decide_waiting(share_state state, instant now)
{
    std::vector<decided_reservation> answers;
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
        auto const reply = rejection_if_due(state, one, now);
        if (reply)
        {
            // A router that rejects requests for lack of tokens needs more.
            state.rate = state.current_allocation
                             ? metered(state.rate, one.amount, now)
                             : state.rate;
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
