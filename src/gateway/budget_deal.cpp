#include "gateway/budget_book.hpp"
#include "gateway/share_sizes.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/fleet/placement.hpp>
#include <caperpath/fleet/roster.hpp>

#include <algorithm>
#include <utility>

/// How a budget book learns what the other routers hold, and which part of a
/// budget is its own to hold.
namespace caperpath::gateway
{

namespace
{

/// Longer than the store is usually away.
constexpr duration ahead{10'000};
/// A router that comes back hears the others within a second.
constexpr duration first_deal_after{1'000};
/// Routers that start together see each other's heartbeats at their second
/// read. Before that the first ones would take a few routers for all, draw
/// large parts, and leave little to those with traffic.
constexpr duration all_known_after = fleet::heartbeat_interval + duration{500};

/// Changes of budget rows come with a wish for tokens, that a caller waits for.
/// In a fleet that deals it is read, returned for and drawn within the wait of
/// a reservation.
constexpr duration budget_read_per_router{8};
constexpr duration least_budget_read{20};
/// In a fleet that does not deal, a follower only waits for it to shrink.
constexpr duration idle_read_pause{10'000};
/// A wish that stays in the row so long was not answered by the one holder that
/// had most: two of them answer then, four after as long again.
constexpr std::int64_t wish_answered_ms = 120;
constexpr std::int64_t most_doublings = 10;
/// A deal counts so long while its budget row does not change: reckoned at each
/// step, its cost would grow with steps, budgets and routers.
constexpr duration deal_lifetime{120};
/// Changes of the rows are followed, and a write on an old row is refused.
constexpr duration followed_row_fresh{1'000};

} // namespace

void budget_book::note_routers(std::int64_t vms)
{
    this->routers = vms;
}

/// The heartbeats of routers that started together are read after some seconds,
/// what they tell of their shares sooner.
std::int64_t budget_book::fleet_size() const
{
    auto const at = this->now.now();
    auto const heard =
        std::count_if(this->heard_of.begin(), this->heard_of.end(),
                      [at](auto const& entry)
                      { return at - entry.second <= fleet::member_lifetime; });
    return std::max(this->routers, heard + 1);
}

bool budget_book::knows_fleet(instant at) const
{
    auto const since = at - this->began;
    auto const heard = std::ssize(this->heard_of);
    return since >= all_known_after ||
           (since >= first_deal_after &&
            this->routers > std::max<std::int64_t>(1, heard));
}

bool budget_book::deals() const
{
    return this->fleet_size() <= budget::most_dealing_routers;
}

/// All routers read what all of them write: with a pause that grows with their
/// number, the calls of all together grow as it does and not as its square.
duration budget_book::budget_read_pause() const
{
    return this->deals() ? std::max(least_budget_read,
                                    budget_read_per_router * this->fleet_size())
                         : idle_read_pause;
}

void budget_book::follow_rows()
{
    table_listener holdings;
    holdings.listed = [](store::feed_page const&) {
    };
    holdings.changed = [this](store::feed_page const& page)
    {
        this->hear(page);
    };
    holdings.reached = [](bool, error const&) {
    };
    holdings.pause = [this]
    {
        return this->deals() ? budget::holdings_read_pause(this->fleet_size())
                             : idle_read_pause;
    };
    auto const salt = fleet::stable_hash(this->vm.value);
    this->holding_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::own_table("holding"),
        std::move(holdings), salt);
    this->holding_rows->start();

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
        return this->budget_read_pause();
    };
    this->budget_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::own_table("budget"),
        std::move(budgets), salt);
    this->budget_rows->start();
}

/// VMs are replaced for as long as this process runs.
void budget_book::forget_silent(instant at)
{
    auto const is_old = [at](instant heard)
    {
        return at - heard > fleet::row_lifetime;
    };
    std::erase_if(this->heard_of,
                  [&](auto const& entry) { return is_old(entry.second); });
    for (auto& [id, of] : this->accounts)
    {
        std::erase_if(of.others, [&](auto const& entry)
                      { return is_old(entry.second.at); });
    }
}

void budget_book::hear(store::feed_page const& page)
{
    auto const at = this->now.now();
    this->forget_silent(at);
    for (auto const& row : page.rows)
    {
        auto const from = budget::vm_of_holding_key(row.key);
        if (!from || *from == this->vm || row.deleted)
        {
            continue;
        }
        auto const read =
            value_or_error([&] { return budget::decode_holdings(row.value); });
        if (auto const* fault = std::get_if<error>(&read))
        {
            this->log.fault(*fault);
            continue;
        }
        this->heard_of[*from] = at;
        for (auto const& [id, told] :
             std::get<std::map<budget_id, budget::holding>>(read))
        {
            auto const found = this->accounts.find(id);
            if (found != this->accounts.end())
            {
                found->second.others[*from] = {told, at};
            }
        }
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
    one.granted = share.share.granted + share.received - share.given;
    // On its way back to the budget row, it would be counted twice.
    one.spent =
        share.closing ? 0 : share.settled + share.unsettled - share.given;
    one.open = share.reserved;
    auto const has_traffic = share.rate.samples > 0 || share.rate.gathered > 0;
    if (has_traffic || !share.waiting.empty())
    {
        one.need =
            budget::need_ahead(std::max(0.0, share.rate.per_second), ahead,
                               static_cast<token_count>(of.large_request())) +
            budget::waiting_tokens(share);
    }
    return one;
}

std::optional<store::row_write> budget_book::holdings_to_tell()
{
    auto const at = this->now.now();
    auto const told =
        at - this->told_at < budget::holdings_read_pause(this->fleet_size());
    if (told || !this->deals())
    {
        return std::nullopt;
    }
    this->told_at = at;
    std::map<budget_id, budget::holding> all;
    for (auto const& [id, of] : this->accounts)
    {
        all[id] = this->own_holding(of);
    }
    return store::row_write{budget::holding_key(this->vm), budget::encode(all)};
}

void budget_book::deal(account& of)
{
    auto& share = of.share;
    auto const at = this->now.now();
    if (!this->asks_peers() && (!share.seen || !this->knows_fleet(at)))
    {
        return;
    }
    if (!this->deals())
    {
        // A coordinator draws what it spreads.
        share.dealt = this->asks_peers()
                          ? std::optional{budget::deal{of.pool_target, 0, 0}}
                          : std::nullopt;
        share.must_return = false;
        share.sizes.fresh = share_sizes().fresh;
        return;
    }
    if (share.dealt && of.dealt_for == share.seen->version &&
        at - of.dealt_at < deal_lifetime)
    {
        return;
    }
    share.sizes.fresh = followed_row_fresh;
    of.dealt_for = share.seen->version;
    of.dealt_at = at;
    share.dealt = budget::deal_for(of.others, this->vm, this->own_holding(of),
                                   share.seen->row, this->fleet_size(), at);
    auto const free = budget::free_tokens(share);
    auto const wanted = share.seen->row.wanted;
    auto const waited = (at - share.seen->wish_since).ms / wish_answered_ms;
    share.must_return =
        wanted > 0
            ? budget::must_return(of.others, this->vm, free,
                                  wanted << std::min(waited, most_doublings),
                                  this->fleet_size(), at)
            : budget::must_return(of.others, this->vm, free,
                                  share.dealt->others_lack, this->routers, at);
}

} // namespace caperpath::gateway
