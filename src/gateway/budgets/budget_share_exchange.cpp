#include "gateway/budgets/budget_share_manager.hpp"

#include <algorithm>
#include <string>
#include <utility>

/// Connects the budget shares to the token exchange, which moves tokens between
/// the routers of a large fleet.
namespace caperpath::gateway
{

namespace
{

constexpr auto policy = config::budget_policy::false_refusals_first;
/// A coordinator responds again within this time, or another one replaces it.
constexpr duration draws_alone_for{1'000};

} // namespace

/// Returns true if routers exchange tokens by datagrams. In a small fleet each
/// budget is allocated by the holdings that the routers report.
bool budget_share_manager::is_large_fleet() const
{
    return !this->is_small_fleet();
}

void budget_share_manager::set_peers(
    std::map<std::string, incarnation_id> const& live)
{
    this->exchange.set_peers(live, this->now.now());
}

void budget_share_manager::receive_datagram(std::string const& from,
                                            std::string const& bytes)
{
    if (this->spend_writer.ready())
    {
        this->exchange.receive(from, bytes, this->now.now());
    }
}

bool budget_share_manager::may_receive_tokens(budget_id const& budget)
{
    return this->is_large_fleet() &&
           this->exchange.may_get_response(budget, this->now.now());
}

share_access budget_share_manager::make_share_access()
{
    share_access access;
    access.view = [this](budget_id const& budget)
    {
        return this->view(budget);
    };
    access.in_use = [this]
    {
        return this->budgets(true);
    };
    access.known = [this]
    {
        return this->budgets(false);
    };
    access.take = [this](budget_id const& budget, token_count tokens,
                         duration wait, std::function<void(bool)> done)
    {
        this->take_for_peer(budget, tokens, wait, std::move(done));
    };
    access.put = [this](budget_id const& budget, token_count tokens)
    {
        this->add_from_peer(budget, tokens);
    };
    access.reject = [this](budget_id const& budget, duration retry_after)
    {
        this->reject_waiting(budget, retry_after);
    };
    access.set_pool_target = [this](budget_id const& budget, token_count target)
    {
        this->accounts.at(budget).pool_target = target;
    };
    access.draw_alone = [this](budget_id const& budget)
    {
        this->accounts.at(budget).draws_alone_until =
            this->now.now() + draws_alone_for;
    };
    return access;
}

share_view budget_share_manager::view(budget_id const& budget) const
{
    share_view found;
    auto const of = this->accounts.find(budget);
    if (of == this->accounts.end() || of->second.pending_takeover)
    {
        return found;
    }
    auto const& share = of->second.share;
    auto const free = budget::free_tokens(share);
    token_count callers = 0;
    token_count routers = 0;
    for (auto const& one : share.waiting)
    {
        (one.is_transfer ? routers : callers) += one.amount;
    }
    found.free = std::max<token_count>(0, free - callers - routers);
    found.lacking = std::max<token_count>(0, callers - free);
    found.spent = share.settled + share.unsettled - share.given;
    found.paid = of->second.paid;
    found.mean_request = this->typical_request(of->second);
    if (!share.down_since)
    {
        auto const left =
            share.seen ? budget::ungranted(share.seen->row) : of->second.paid;
        found.ungranted = std::max<token_count>(
            0, left - std::max<token_count>(0, callers + routers - free));
    }
    return found;
}

/// In a large fleet a router sees few requests of a given customer, and request
/// sizes differ more within a customer than between customers. So it uses the
/// mean over all customers.
double budget_share_manager::typical_request(account const& of) const
{
    return this->mean_request_of_all > 0 ? this->mean_request_of_all
                                         : of.mean_request;
}

std::vector<budget_id> budget_share_manager::budgets(bool in_use) const
{
    std::vector<budget_id> all;
    for (auto const& [id, of] : this->accounts)
    {
        if (!in_use || budget::free_tokens(of.share) > 0 ||
            budget::used_tokens(of.share) > 0)
        {
            all.push_back(id);
        }
    }
    return all;
}

/// Reserves tokens for another router. Like a caller's reservation, it waits
/// for a draw and for the spend limit.
void budget_share_manager::take_for_peer(budget_id const& budget,
                                         token_count tokens, duration wait,
                                         std::function<void(bool)> done)
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end() || found->second.pending_takeover)
    {
        done(false);
        return;
    }
    auto& of = found->second;
    this->transfer_reservations += 1;
    request_id const id{"transfer/" +
                        std::to_string(this->transfer_reservations)};
    auto const decided = [this, id, budget, done = std::move(done)](
                             budget::reserve_reply const& reply)
    {
        auto const taken = reply.verdict == budget::reserve_verdict::admitted;
        if (taken)
        {
            auto& account = this->accounts.at(budget);
            account.share =
                budget::spend_transfer(std::move(account.share), id);
        }
        done(taken);
    };
    this->update_spend_limit(of);
    auto outcome = budget::reserve(std::move(of.share),
                                   {id, budget, policy, tokens, wait, true},
                                   this->now.now());
    of.share = std::move(outcome.state);
    if (outcome.reply)
    {
        decided(*outcome.reply);
        return;
    }
    this->waiting.emplace(id, decided);
    this->request_limit_raise(of);
    this->step(budget);
}

void budget_share_manager::add_from_peer(budget_id const& budget,
                                         token_count tokens)
{
    auto& of = this->open_account(budget);
    of.share = budget::add_received(std::move(of.share), tokens);
    this->settle_waiting(of);
}

void budget_share_manager::reject_waiting(budget_id const& budget,
                                          duration retry_after)
{
    auto& of = this->accounts.at(budget);
    auto step = budget::reject_uncovered(std::move(of.share), retry_after,
                                         this->now.now());
    of.share = std::move(step.state);
    this->send_replies(step.decisions);
}

void budget_share_manager::update_draw_mode(account& of, instant at)
{
    auto& share = of.share;
    share.has_peers = this->is_large_fleet();
    if (!share.has_peers)
    {
        share.may_draw_from_store = true;
        return;
    }
    auto const has_transfers =
        std::any_of(share.waiting.begin(), share.waiting.end(),
                    [](auto const& one) { return one.is_transfer; });
    share.may_draw_from_store = has_transfers || at < of.draws_alone_until ||
                                this->exchange.is_coordinator(share.budget);
}

} // namespace caperpath::gateway
