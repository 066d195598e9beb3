#include "gateway/budgets/token_exchange.hpp"

#include "gateway/budgets/token_rejection.hpp"

#include <algorithm>
#include <string>
#include <utility>

/// How a router requests tokens from the coordinators of a budget.
namespace caperpath::gateway
{

namespace
{

/// A coordinator that does not respond within the timeout is skipped for a
/// while.
constexpr duration response_timeout{120};
constexpr duration retry_interval{40};
constexpr duration silence_lifetime{1'000};
/// While a rejection is this recent, callers that lack at least as many tokens
/// are rejected at once.
constexpr duration rejection_lifetime{300};

} // namespace

void token_exchange::handle_rejection(vm_id const& from,
                                      token_rejection const& rejection,
                                      instant now)
{
    auto& of = this->state_of(rejection.budget);
    if (!of.pending || rejection.number != of.last_request)
    {
        return; // rejects an earlier request
    }
    duration const retry_after{rejection.retry_ms};
    this->log.write(log_weight::routine, "denied",
                    {{"budget", rejection.budget.value},
                     {"tokens", std::to_string(of.pending->tokens)},
                     {"coordinator", from.value},
                     {"retry_ms", std::to_string(rejection.retry_ms)}});
    of.rejected = {of.pending->tokens, retry_after, now + rejection_lifetime};
    of.pending.reset();
    this->shares.reject(rejection.budget, retry_after);
}

void token_exchange::request_tokens(budget_id const& budget, instant now)
{
    auto& of = this->state_of(budget);
    auto const lacking = this->shares.view(budget).lacking;
    if (lacking <= 0 || of.pending)
    {
        return;
    }
    if (of.rejected && now < of.rejected->until &&
        lacking >= of.rejected->tokens)
    {
        this->shares.reject(budget, of.rejected->retry_after);
        return;
    }
    of.last_request += 1;
    of.pending = open_request{lacking};
    this->send_request(budget, of, now);
    this->flush();
}

/// Sends the request to the first coordinator that is not silent. If that is
/// this router, it draws by itself and recalls from the others what the budget
/// row lacks.
void token_exchange::send_request(budget_id const& budget, budget_state& of,
                                  instant now)
{
    auto& pending = *of.pending;
    while (pending.rank < of.coordinators.size() &&
           of.coordinators[pending.rank] != this->self &&
           this->is_silent(of.coordinators[pending.rank], now))
    {
        pending.rank += 1;
    }
    pending.sent_at = now;
    pending.sends = 1;
    if (pending.rank >= of.coordinators.size())
    {
        this->shares.draw_alone(budget);
        return;
    }
    if (of.coordinators[pending.rank] != this->self)
    {
        this->packet_to(of.coordinators[pending.rank])
            .token_requests.push_back(
                {budget, of.last_request, pending.tokens});
        return;
    }
    this->serve_own_callers(budget, of, now);
}

/// Serves callers that wait at the coordinator itself.
void token_exchange::serve_own_callers(budget_id const& budget,
                                       budget_state& of, instant now)
{
    auto const view = this->shares.view(budget);
    auto const missing = view.lacking - view.ungranted;
    if (missing <= 0)
    {
        return;
    }
    auto const stock = this->stock_of(budget, of, now);
    if (free_elsewhere(stock) >= missing)
    {
        this->recall_missing(budget, missing, now);
        return;
    }
    auto const retry_after = this->is_used_up(stock, view, view.lacking)
                                 ? duration{0}
                                 : retry_after_rejection;
    of.rejected = {view.lacking, retry_after, now + rejection_lifetime};
    of.pending.reset();
    this->shares.reject(budget, retry_after);
}

/// A request or its response may be lost: retries the request, then tries the
/// next coordinator.
void token_exchange::retry_request(budget_id const& budget, budget_state& of,
                                   instant now)
{
    if (this->shares.view(budget).lacking <= 0)
    {
        of.pending.reset();
        return;
    }
    auto& pending = *of.pending;
    auto const since = now - pending.sent_at;
    if (pending.rank >= of.coordinators.size() ||
        of.coordinators[pending.rank] == this->self)
    {
        if (since >= response_timeout)
        {
            of.pending.reset();
        }
        return;
    }
    auto const& coordinator = of.coordinators[pending.rank];
    if (since >= response_timeout)
    {
        this->log.write(log_weight::routine, "silent",
                        {{"budget", budget.value},
                         {"tokens", std::to_string(pending.tokens)},
                         {"coordinator", coordinator.value}});
        this->peers[coordinator].silent_until = now + silence_lifetime;
        pending.rank += 1;
        this->send_request(budget, of, now);
    }
    else if (since >= retry_interval * pending.sends)
    {
        pending.sends += 1;
        this->packet_to(coordinator)
            .token_requests.push_back(
                {budget, of.last_request, pending.tokens});
    }
}

} // namespace caperpath::gateway
