#include "gateway/budget_book.hpp"

#include <caperpath/budget/rows.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

/// How a budget book learns what the other routers hold, and which part of a
/// budget is its own to hold.
namespace caperpath::gateway
{

namespace
{

/// The store is away for up to 9 s at a time.
constexpr duration ahead{10'000};
/// All routers of a site start within a second; before that the others' rows
/// were not heard.
constexpr duration first_deal_after{1'000};
/// Spend rows are written each 0.3 s; read so often by six routers they are 1
/// in 100 of the store's reads.
constexpr duration spend_read_per_router{15};
constexpr duration least_spend_read{300};
/// Changes of budget rows come with a wish for tokens, that a caller waits for.
constexpr duration budget_read_per_router{8};
constexpr duration least_budget_read{20};

} // namespace

void budget_book::note_routers(std::int64_t vms)
{
    this->routers = vms;
}

/// All routers read what all of them write: with a pause that grows with their
/// number, the calls of all together grow as it does and not as its square.
duration budget_book::pause_between_reads(duration for_one) const
{
    return for_one * this->routers;
}

void budget_book::follow_rows()
{
    table_listener spends;
    spends.listed = [](store::feed_page const&) {
    };
    spends.changed = [this](store::feed_page const& page)
    {
        this->hear(page);
    };
    spends.reached = [](bool, error const&) {
    };
    spends.pause = [this]
    {
        return std::max(least_spend_read,
                        this->pause_between_reads(spend_read_per_router));
    };
    this->spend_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::own_table("spend"),
        std::move(spends));
    this->spend_rows->start();

    table_listener budgets;
    budgets.listed = [this](store::feed_page const&)
    {
        // Rows may have changed unseen: each is read before it counts again.
        this->followed_from = this->now.now();
    };
    budgets.changed = [this](store::feed_page const& page)
    {
        this->see_budgets(page);
    };
    budgets.reached = [](bool, error const&) {
    };
    budgets.pause = [this]
    {
        return std::max(least_budget_read,
                        this->pause_between_reads(budget_read_per_router));
    };
    this->budget_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::own_table("budget"),
        std::move(budgets));
    this->budget_rows->start();
}

void budget_book::hear(store::feed_page const& page)
{
    auto const at = this->now.now();
    for (auto const& row : page.rows)
    {
        auto const from = budget::vm_of_spend_key(row.key);
        if (!from || *from == this->vm || row.deleted)
        {
            continue;
        }
        auto const read =
            value_or_error([&] { return budget::decode_spend(row.value); });
        if (auto const* fault = std::get_if<error>(&read))
        {
            this->log.fault(*fault);
            continue;
        }
        for (auto const& [id, told] :
             std::get<budget::spend_row>(read).holdings)
        {
            auto const found = this->accounts.find(id);
            if (found != this->accounts.end())
            {
                found->second.others[*from] = {told, at};
            }
        }
        this->heard_at = at;
    }
}

void budget_book::see_budgets(store::feed_page const& page)
{
    auto const at = this->now.now();
    for (auto const& row : page.rows)
    {
        auto const id = budget_id{row.key.substr(row.key.find('/') + 1)};
        auto const found = this->accounts.find(id);
        if (found != this->accounts.end() && !row.deleted)
        {
            auto& share = found->second.share;
            share = budget::noticed(std::move(share),
                                    {row.key, row.version, row.value}, at);
            found->second.raise_paid();
        }
    }
    for (auto& [id, of] : this->accounts)
    {
        if (of.share.seen && of.share.seen->at >= this->followed_from)
        {
            of.share = budget::unchanged(std::move(of.share), at);
        }
        if (!of.share.waiting.empty() || of.share.dealt)
        {
            this->settle_waiting(of);
            this->step(id);
        }
    }
}

double budget_book::account::large_request() const
{
    return this->mean_request > 0 ? this->mean_square / this->mean_request : 0;
}

budget::holding budget_book::own_holding(account const& of) const
{
    auto const& share = of.share;
    budget::holding one;
    if (of.taking)
    {
        one.granted = of.taking->spent;
        one.spent = of.taking->spent;
        return one;
    }
    one.granted = share.share.granted;
    // On its way back to the budget row, it would be counted twice.
    one.spent = share.closing ? 0 : share.settled + share.unsettled;
    one.open = share.reserved;
    one.need =
        budget::need_ahead(std::max(0.0, share.rate.per_second), ahead,
                           static_cast<token_count>(of.large_request())) +
        budget::waiting_tokens(share);
    return one;
}

std::map<budget_id, budget::holding> budget_book::own_holdings() const
{
    std::map<budget_id, budget::holding> all;
    for (auto const& [id, of] : this->accounts)
    {
        all[id] = this->own_holding(of);
    }
    return all;
}

void budget_book::deal(account& of)
{
    auto& share = of.share;
    auto const at = this->now.now();
    if (!share.seen || at - this->began < first_deal_after)
    {
        return;
    }
    share.dealt = budget::deal_for(of.others, this->vm, this->own_holding(of),
                                   share.seen->row, this->routers, at);
    share.must_return =
        budget::must_return(of.others, this->vm, budget::free_tokens(share),
                            share.seen->row.wanted, at);
}

} // namespace caperpath::gateway
