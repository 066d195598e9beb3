#include "gateway/token_exchange.hpp"

#include "gateway/token_refusal.hpp"

#include <algorithm>
#include <utility>

/// How a router gives tokens to others, and a coordinator finds them.
namespace caperpath::gateway
{

namespace
{

/// A coordinator draws, raises its spend line and asks others within this.
constexpr duration longest_service{80};
constexpr duration longest_recall{200};
/// A router that runs out gets a little more than it lacks, while there is
/// plenty.
constexpr token_count extra_divisor = 8;

} // namespace

void token_exchange::give(vm_id const& to, budget_id const& budget,
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
                // The router has gone in the meantime: keep them.
                this->shares.put(budget, tokens);
                return;
            }
            auto step =
                budget::post(std::move(this->sent), found->second.incarnation,
                             budget, tokens, this->time.now());
            this->sent = std::move(step.sent);
            this->packet_to(to).transfers.push_back(std::move(step.what));
            this->flush();
        });
}

budget::budget_stock token_exchange::stock_of(budget_id const& budget,
                                              trade const& of, instant now)
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

/// Reports are late, so more is spent than they tell. After a crash they count
/// what lies under the dead router's line as well: nobody can use it any more.
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

void token_exchange::gather(budget_id const& budget, token_count missing,
                            instant now)
{
    auto& of = this->trade_of(budget);
    auto const stock = this->stock_of(budget, of, now);
    for (auto const& one : budget::gather(stock, missing))
    {
        of.routers[one.router].free += one.tokens;
        this->packet_to(one.router).recalls.push_back({budget, -one.tokens});
    }
}

void token_exchange::serve(vm_id const& from, token_ask const& ask, instant now)
{
    auto& of = this->trade_of(ask.budget);
    auto& served = of.served[from];
    auto const& asker = this->peers.at(from).incarnation;
    if (served.asker == asker && ask.number <= served.number)
    {
        return; // its answer is on its way, and sent again if it is lost
    }
    served = {asker, ask.number};
    auto const deny = [this, from, ask](duration retry_after)
    {
        this->packet_to(from).denials.push_back(
            {ask.budget, ask.number, retry_after.ms});
    };
    auto const view = this->shares.view(ask.budget);
    of.routers[from].free = 0; // it would not ask otherwise
    auto const missing = ask.tokens - view.free - view.ungranted;
    if (missing > 0)
    {
        auto const stock = this->stock_of(ask.budget, of, now);
        this->gather(ask.budget, missing, now);
        if (free_elsewhere(stock) < missing)
        {
            // Some of the callers that wait there may need less.
            auto const used_up = this->is_used_up(stock, view, ask.tokens);
            this->give_rest(from, ask.budget, view.free);
            deny(used_up ? duration{0} : retry_denied);
            return;
        }
    }
    auto const plenty = std::max<token_count>(0, view.free - ask.tokens);
    auto const extra = std::min(plenty / extra_divisor,
                                static_cast<token_count>(view.mean_request));
    this->give(from, ask.budget, ask.tokens + extra, longest_service,
               [this, deny]
               {
                   deny(retry_denied);
                   this->flush();
               });
}

void token_exchange::give_rest(vm_id const& to, budget_id const& budget,
                               token_count free)
{
    if (free > 0)
    {
        this->give(to, budget, free, duration{0}, [] {});
    }
}

void token_exchange::serve_recall(vm_id const& from, token_recall const& recall)
{
    auto const free = this->shares.view(recall.budget).free;
    auto const tokens = std::min(free, recall.tokens);
    if (tokens > 0)
    {
        this->give(from, recall.budget, tokens, longest_recall, [] {});
    }
}

} // namespace caperpath::gateway
