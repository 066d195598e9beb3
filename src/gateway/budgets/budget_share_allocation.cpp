#include "gateway/budgets/budget_share_manager.hpp"
#include "gateway/budgets/share_sizes.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/fleet/membership.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <utility>

/// Collects the holdings of the other routers and computes which part of a
/// budget this router should hold.
namespace caperpath::gateway
{

namespace
{

/// Planning horizon of a router's need for tokens, longer than a usual outage
/// of the store.
constexpr duration need_horizon{10'000};
/// A restarted router receives the holdings of the others within this time.
constexpr duration first_allocation_after{1'000};
/// Routers that start together see each other's heartbeats at their second
/// read. A router that allocates before that would see only part of the fleet,
/// draw a large share, and leave little to routers with traffic.
constexpr duration fleet_known_after =
    fleet::heartbeat_interval + duration{500};

/// A change of a budget row may carry a token request that a caller waits for.
/// In a small fleet the other routers have to read it and return tokens, and
/// this one to draw them, within the wait of a reservation.
constexpr duration budget_read_interval_per_router{8};
constexpr duration least_budget_read_interval{20};
/// In a large fleet the follower only detects that the fleet has shrunk.
constexpr duration idle_read_interval{10'000};
/// If requested tokens stay in the row this long, the holder with the most free
/// tokens did not return them. The number of holders that return tokens doubles
/// with each such interval.
constexpr std::int64_t request_doubling_ms = 120;
constexpr std::int64_t most_doublings = 10;
/// An allocation is reused for this long while its budget row does not change.
/// Computing it at each step would cost in proportion to steps, budgets and
/// routers.
constexpr duration allocation_lifetime{120};
/// A row counts as fresh for this long: changes are followed, and the store
/// rejects a write based on an old row.
constexpr duration followed_row_fresh{1'000};

} // namespace

void budget_share_manager::set_router_count(std::int64_t vms)
{
    this->routers = vms;
}

/// Returns the larger count of live routers by heartbeats and by holdings.
/// Heartbeats of routers that start together are read only after some seconds,
/// their holdings sooner.
std::int64_t budget_share_manager::fleet_size() const
{
    auto const at = this->now.now();
    auto const reporting = std::count_if(
        this->holdings_received_at.begin(), this->holdings_received_at.end(),
        [at](auto const& entry)
        { return at - entry.second <= fleet::member_lifetime; });
    return std::max(this->routers, reporting + 1);
}

/// Returns true if the number of routers is reliable: enough time for
/// heartbeats has passed, or, after a restart into a running fleet, the
/// heartbeats read (including the own one) outnumber the VMs whose holdings
/// were received.
bool budget_share_manager::knows_fleet(instant at) const
{
    auto const since = at - this->started_at;
    auto const reporting = std::ssize(this->holdings_received_at);
    return since >= fleet_known_after ||
           (since >= first_allocation_after &&
            this->routers > std::max<std::int64_t>(1, reporting));
}

bool budget_share_manager::is_small_fleet() const
{
    return this->fleet_size() <= budget::max_allocating_routers;
}

/// Returns the interval between reads of budget rows. All routers read what all
/// of them write: with an interval proportional to their number, the total
/// number of calls grows linearly and not quadratically.
duration budget_share_manager::budget_read_interval() const
{
    return this->is_small_fleet()
               ? std::max(least_budget_read_interval,
                          budget_read_interval_per_router * this->fleet_size())
               : idle_read_interval;
}

void budget_share_manager::follow_rows()
{
    table_listener holdings;
    holdings.on_snapshot = [](store::feed_page const&) {
    };
    holdings.on_change = [this](store::feed_page const& page)
    {
        this->receive_holdings(page);
    };
    holdings.on_reachability = [](bool, error const&) {
    };
    holdings.poll_delay = [this]
    {
        return this->is_small_fleet()
                   ? budget::holdings_read_pause(this->fleet_size())
                   : idle_read_interval;
    };
    auto const salt = fleet::stable_hash(this->vm.value);
    this->holding_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::table_for_kind("holding"),
        std::move(holdings), salt, this->log);
    this->holding_rows->start();

    table_listener budgets;
    budgets.on_snapshot = [this](store::feed_page const&)
    {
        // Changes may have been missed: each row is read before it counts as
        // current again.
        this->rows_current_since = this->now.now();
    };
    budgets.on_change = [this](store::feed_page const& page)
    {
        this->receive_budget_rows(page);
    };
    budgets.on_reachability = [](bool, error const&) {
    };
    budgets.poll_delay = [this]
    {
        return this->budget_read_interval();
    };
    this->budget_rows = std::make_unique<table_follower>(
        this->executor, this->port, store::table_for_kind("budget"),
        std::move(budgets), salt, this->log);
    this->budget_rows->start();
}

/// Erases the holdings of VMs that no longer report. VMs are replaced as long
/// as this process runs, so the maps would otherwise grow without bound.
void budget_share_manager::expire_holdings(instant at)
{
    auto const is_old = [at](instant received)
    {
        return at - received > fleet::row_lifetime;
    };
    std::erase_if(this->holdings_received_at,
                  [&](auto const& entry) { return is_old(entry.second); });
    for (auto& [id, of] : this->accounts)
    {
        std::erase_if(of.other_holdings, [&](auto const& entry)
                      { return is_old(entry.second.at); });
    }
}

void budget_share_manager::receive_holdings(store::feed_page const& page)
{
    auto const at = this->now.now();
    this->expire_holdings(at);
    for (auto const& row : page.rows)
    {
        run_part(this->log, row.key, [&] { this->note_holdings(row, at); });
    }
}

void budget_share_manager::note_holdings(store::feed_row const& row, instant at)
{
    auto const from = budget::vm_of_holding_key(row.key);
    if (!from || *from == this->vm || row.deleted)
    {
        return;
    }
    auto const read =
        value_or_error([&] { return budget::decode_holdings(row.value); });
    if (auto const* fault = std::get_if<error>(&read))
    {
        this->log.write_error(*fault);
        return;
    }
    this->holdings_received_at[*from] = at;
    for (auto const& [id, reported] :
         std::get<std::map<budget_id, budget::holding>>(read))
    {
        auto const found = this->accounts.find(id);
        if (found != this->accounts.end())
        {
            found->second.other_holdings[*from] = {reported, at};
        }
    }
}

void budget_share_manager::receive_budget_rows(store::feed_page const& page)
{
    auto const at = this->now.now();
    for (auto const& row : page.rows)
    {
        run_part(this->log, row.key, [&] { this->note_budget_row(row, at); });
    }
    for (auto& [id, of] : this->accounts)
    {
        run_part(this->log, id.value,
                 [&, &budget = id, &account = of]
                 {
                     if (account.share.seen &&
                         account.share.seen->at >= this->rows_current_since)
                     {
                         account.share = budget::after_feed_unchanged(
                             std::move(account.share), at);
                     }
                     if (!account.share.waiting.empty() ||
                         account.share.current_allocation)
                     {
                         this->settle_waiting(account);
                         this->step(budget);
                     }
                 });
    }
}

void budget_share_manager::note_budget_row(store::feed_row const& row,
                                           instant at)
{
    auto const id = budget_id{row.key.substr(row.key.find('/') + 1)};
    auto const found = this->accounts.find(id);
    if (found != this->accounts.end() && !row.deleted)
    {
        auto& share = found->second.share;
        store::row const current{row.key, row.version, row.value};
        share = budget::after_feed_update(std::move(share), current, at);
        found->second.raise_paid();
    }
}

double budget_share_manager::account::token_weighted_request() const
{
    return this->mean_request > 0
               ? this->mean_squared_request / this->mean_request
               : 0;
}

budget::holding budget_share_manager::own_holding(account const& of) const
{
    auto const& share = of.share;
    budget::holding one;
    if (of.pending_takeover)
    {
        one.granted = of.pending_takeover->spent;
        one.spent = of.pending_takeover->spent;
        return one;
    }
    one.granted = share.share.granted + share.received - share.given;
    // While closing, the tokens return to the budget row; reporting them here
    // would count them twice.
    one.spent =
        share.closing ? 0 : share.settled + share.unsettled - share.given;
    one.open = share.reserved;
    auto const has_traffic = share.rate.samples > 0 || share.rate.gathered > 0;
    if (has_traffic || !share.waiting.empty())
    {
        one.need = budget::need_ahead(
                       std::max(0.0, share.rate.per_second), need_horizon,
                       static_cast<token_count>(of.token_weighted_request())) +
                   budget::waiting_tokens(share);
    }
    return one;
}

std::optional<store::row_write> budget_share_manager::holdings_to_report()
{
    auto const at = this->now.now();
    auto const recently_written =
        at - this->holdings_written_at <
        budget::holdings_read_pause(this->fleet_size());
    if (recently_written || !this->is_small_fleet())
    {
        return std::nullopt;
    }
    this->holdings_written_at = at;
    std::map<budget_id, budget::holding> all;
    for (auto const& [id, of] : this->accounts)
    {
        all[id] = this->own_holding(of);
    }
    return store::row_write{budget::holding_key(this->vm), budget::encode(all)};
}

void budget_share_manager::allocate(account& of)
{
    auto& share = of.share;
    auto const at = this->now.now();
    if (!this->is_large_fleet() && (!share.seen || !this->knows_fleet(at)))
    {
        return;
    }
    if (!this->is_small_fleet())
    {
        // In a large fleet the coordinator draws the tokens that it
        // distributes.
        share.current_allocation =
            this->is_large_fleet()
                ? std::optional{budget::allocation{of.pool_target, 0, 0}}
                : std::nullopt;
        share.must_return = false;
        share.sizes.max_row_age = share_sizes().max_row_age;
        return;
    }
    if (share.current_allocation &&
        of.allocated_version == share.seen->version &&
        at - of.allocated_at < allocation_lifetime)
    {
        return;
    }
    share.sizes.max_row_age = followed_row_fresh;
    of.allocated_version = share.seen->version;
    of.allocated_at = at;
    share.current_allocation = budget::allocation_for(
        of.other_holdings, this->vm, this->own_holding(of), share.seen->row,
        this->fleet_size(), at);
    auto const free = budget::free_tokens(share);
    auto const wanted = share.seen->row.wanted;
    // The longer tokens are wanted, the more holders must return some: they are
    // chosen for 2^doublings times the wanted tokens.
    auto const doublings =
        (at - share.seen->wanted_since).ms / request_doubling_ms;
    share.must_return =
        wanted > 0
            ? budget::must_return(of.other_holdings, this->vm, free,
                                  wanted << std::min(doublings, most_doublings),
                                  this->fleet_size(), at)
            : budget::must_return(of.other_holdings, this->vm, free,
                                  share.current_allocation->others_shortage,
                                  this->routers, at);
}

} // namespace caperpath::gateway
