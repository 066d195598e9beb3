#include "gateway/budgets/token_exchange.hpp"

#include "gateway/budgets/token_rejection.hpp"

#include <algorithm>
#include <utility>

/// How a router sends tokens to others, and a coordinator recalls them.
namespace caperpath::gateway
{

namespace
{

/// A coordinator draws, raises its spend limit and recalls tokens within the
/// first limit. A router that gets a recall takes the tokens out of its share
/// within the second.
constexpr duration request_time_limit{80};
constexpr duration recall_time_limit{200};
/// While tokens are plentiful, a router that runs out gets more than it lacks,
/// by up to the remaining free tokens divided by this.
constexpr token_count extra_divisor = 8;

} // namespace

void token_exchange::send_tokens(vm_id const& to, budget_id const& budget,
                                 token_count tokens, duration wait,
                                 std::function<void()> failed)
{
    this->shares.take(
        budget, tokens, wait,
        [this, to, budget, tokens, failed = std::move(failed)](bool taken)
        {
            auto const found = this->peers.find(to);
            if (!taken)
            {
                failed();
                return;
            }
            if (found == this->peers.end())
            {
                // The receiver is gone: return the tokens to the share.
                this->shares.put(budget, tokens);
                return;
            }
            auto step = budget::post(std::move(this->outgoing),
                                     found->second.incarnation, budget, tokens,
                                     this->time.now());
            this->outgoing = std::move(step.sent);
            this->packet_to(to).transfers.push_back(std::move(step.what));
            this->flush();
        });
}

budget::budget_stock token_exchange::stock_of(budget_id const& budget,
                                              budget_state const& of,
                                              instant now)
{
    auto const view = this->shares.view(budget);
    budget::budget_stock stock;
    stock.pool = view.free;
    stock.ungranted = view.ungranted;
    stock.mean_request = view.mean_request;
    stock.own.free = view.free;
    stock.own.spent = view.spent;
    stock.own.requests = budget::value_at(of.requests, now);
    stock.own.all_requests = budget::value_at(this->all_requests, now);
    for (auto const& [router, one] : of.routers)
    {
        auto const known = this->peers.find(router);
        if (known != this->peers.end())
        {
            stock.routers[router] = {one.free, one.spent,
                                     budget::value_at(one.requests, now),
                                     known->second.all_requests};
        }
    }
    return stock;
}

/// Returns true if less than `tokens` of the paid amount is unspent. Reports
/// are late, so more is spent than they say. After a crash they include
/// everything below the dead router's spend limit, which no router can use any
/// more.
bool token_exchange::is_used_up(budget::budget_stock const& stock,
                                share_view const& view,
                                token_count tokens) const
{
    auto spent = stock.own.spent;
    for (auto const& [router, one] : stock.routers)
    {
        spent += one.spent;
    }
    return view.paid > 0 && view.paid - spent < tokens;
}

void token_exchange::recall_missing(budget_id const& budget,
                                    token_count missing, instant now)
{
    auto& of = this->state_of(budget);
    auto const stock = this->stock_of(budget, of, now);
    for (auto const& one : budget::plan_recalls(stock, missing))
    {
        of.routers[one.router].free += one.tokens;
        this->packet_to(one.router).recalls.push_back({budget, -one.tokens});
    }
}

void token_exchange::serve_request(vm_id const& from,
                                   token_request const& request, instant now)
{
    auto& of = this->state_of(request.budget);
    auto& served = of.served[from];
    auto const& requester = this->peers.at(from).incarnation;
    if (served.requester == requester && request.number <= served.number)
    {
        // Already served. A transfer is resent until it is confirmed. A lost
        // rejection is not: the requester times out.
        return;
    }
    served = {requester, request.number};
    auto const reject = [this, from, request](duration retry_after)
    {
        this->packet_to(from).token_rejections.push_back(
            {request.budget, request.number, retry_after.ms});
    };
    auto const view = this->shares.view(request.budget);
    of.routers[from].free = 0; // otherwise it would not request tokens
    auto const missing = request.tokens - view.free - view.ungranted;
    if (missing > 0)
    {
        auto const stock = this->stock_of(request.budget, of, now);
        this->recall_missing(request.budget, missing, now);
        if (free_elsewhere(stock) < missing)
        {
            // Some of the callers that wait there may need fewer tokens.
            auto const used_up = this->is_used_up(stock, view, request.tokens);
            this->send_remaining(from, request.budget, view.free);
            reject(used_up ? duration{0} : retry_after_rejection);
            return;
        }
    }
    auto const plenty = std::max<token_count>(0, view.free - request.tokens);
    auto const extra = std::min(plenty / extra_divisor,
                                static_cast<token_count>(view.mean_request));
    this->send_tokens(from, request.budget, request.tokens + extra,
                      request_time_limit,
                      [this, reject]
                      {
                          reject(retry_after_rejection);
                          this->flush();
                      });
}

void token_exchange::send_remaining(vm_id const& to, budget_id const& budget,
                                    token_count free)
{
    if (free > 0)
    {
        this->send_tokens(to, budget, free, duration{0}, [] {});
    }
}

void token_exchange::serve_recall(vm_id const& from, token_recall const& recall)
{
    auto const free = this->shares.view(recall.budget).free;
    auto const tokens = std::min(free, recall.tokens);
    if (tokens > 0)
    {
        this->send_tokens(from, recall.budget, tokens, recall_time_limit,
                          [] {});
    }
}

} // namespace caperpath::gateway
