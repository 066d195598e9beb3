#include "gateway/budgets/budget_share_manager.hpp"

#include "gateway/budgets/share_sizes.hpp"
#include "gateway/run_after.hpp"
#include "gateway/run_part.hpp"

#include <caperpath/budget/rows.hpp>
#include <caperpath/fleet/placement.hpp>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr auto policy = config::budget_policy::false_refusals_first;
constexpr duration tick_interval{40};
/// Divisor of the paid amount that gives the smallest share: enough for some
/// requests of a small customer while the store is away. A minimum based on the
/// size of single requests would scatter all of a small budget over idle
/// routers.
constexpr token_count least_share_divisor = 60;
/// Routers that start together spread their first draws over this time. If all
/// n routers draw at once, conflicts cause about n * n / 2 attempts for each
/// budget.
constexpr std::uint64_t first_draw_spread_ms = 5'000;

/// The request size assumed before any request is the paid amount divided by
/// this. First shares are then equal, and the first traffic corrects them.
constexpr double assumed_requests = 400;
/// Weights of the moving averages of request sizes: over about ten requests of
/// a budget, and about fifty of all budgets.
constexpr double request_size_weight = 0.1;
constexpr double overall_request_size_weight = 0.02;

} // namespace

void budget_share_manager::account::raise_paid()
{
    if (this->share.seen)
    {
        auto& row = this->share.seen->row;
        row.paid = std::max(row.paid, this->paid);
    }
}

budget_share_manager::budget_share_manager(
    boost::asio::any_io_executor const& executor, store::async_port port,
    std::string vm, std::string address, incarnation_id incarnation,
    std::string peer_address,
    std::function<void(std::string const& to, std::string const& bytes)> send,
    decision_log& log)
    : executor{executor}, timer{executor}, first_read_timer{executor},
      port{port}, vm{vm}, incarnation{incarnation}, log{log},
      spend_writer{executor,
                   std::move(port),
                   std::move(vm),
                   std::move(address),
                   incarnation,
                   {[this] { return this->required_spend_limits(); },
                    [this] { return this->holdings_to_report(); },
                    [this] { return this->spend_row_interval(); },
                    [this] { this->settle_all_waiting(); },
                    [this](auto const& dead, auto const& limits)
                    {
                        this->inherit(dead, limits);
                    }},
                   log},
      exchange{std::move(peer_address),   std::move(incarnation),
               this->make_share_access(), this->now,
               std::move(send),           log}
{
}

void budget_share_manager::start()
{
    this->started_at = this->now.now();
    this->spend_writer.start();
    this->follow_rows();
    this->tick();
}

budget_share_manager::account&
budget_share_manager::open_account(budget_id const& budget)
{
    auto const [found, added] = this->accounts.try_emplace(budget);
    auto& of = found->second;
    if (added)
    {
        of.share = budget::make_share(budget, policy, share_sizes());
        // An assumed request: a share draws only if it had one.
        of.share.last_amount = 1;
        // This program has no holder rows. The version stands for one, because
        // next_step() takes no step while it is 0.
        of.holder = {this->incarnation, 1};
        auto const drawn =
            fleet::stable_hash(this->incarnation.value + "/" + budget.value) %
            first_draw_spread_ms;
        of.first_draw_at =
            this->now.now() + duration{static_cast<std::int64_t>(drawn)};
    }
    return of;
}

void budget_share_manager::apply(fleet::site const& site)
{
    for (auto const& customer : site.customers())
    {
        if (!customer.paid)
        {
            continue;
        }
        budget_id const id{customer.id.value};
        auto& of = this->open_account(id);
        if (*customer.paid > of.paid)
        {
            of.paid = *customer.paid;
            of.share.sizes.least_ahead = of.paid / least_share_divisor;
            if (of.mean_request == 0)
            {
                of.mean_request =
                    static_cast<double>(of.paid) / assumed_requests;
                of.mean_squared_request = of.mean_request * of.mean_request;
            }
            of.raise_paid();
            of.share.last_unmet_wait.reset();
        }
        if (this->closing)
        {
            of.share = budget::close(std::move(of.share));
        }
        this->step(id);
    }
}

void budget_share_manager::settle_all_waiting()
{
    for (auto& [id, of] : this->accounts)
    {
        this->settle_waiting(of);
    }
}

void budget_share_manager::reserve(
    request_id const& request, budget_id const& budget, token_count amount,
    duration wait, std::function<void(budget::reserve_reply)> done)
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        done({budget::reserve_verdict::undecidable, {}});
        return;
    }
    auto& of = found->second;
    this->exchange.count_request(budget, this->now.now());
    auto const size = static_cast<double>(amount);
    this->mean_request_of_all +=
        this->mean_request_of_all > 0
            ? overall_request_size_weight * (size - this->mean_request_of_all)
            : size;
    of.mean_request += request_size_weight * (size - of.mean_request);
    of.mean_squared_request +=
        request_size_weight * (size * size - of.mean_squared_request);
    this->update_spend_limit(of);
    auto outcome = budget::reserve(
        std::move(of.share), {request, budget, policy, amount, wait, false},
        this->now.now());
    of.share = std::move(outcome.state);
    if (outcome.reply)
    {
        done(*outcome.reply);
    }
    else
    {
        this->waiting.emplace(request, std::move(done));
        this->request_limit_raise(of);
        if (this->is_large_fleet())
        {
            this->exchange.request_tokens(budget, this->now.now());
        }
    }
    this->step(budget);
}

void budget_share_manager::finish(request_id const& request,
                                  budget_id const& budget, token_count used)
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        return;
    }
    auto& of = found->second;
    budget::bill cost;
    cost.request = request;
    cost.budget = budget;
    cost.tokens = used;
    auto ended =
        budget::finish(std::move(of.share), {cost, policy, 0}, this->now.now());
    of.share = std::move(ended.state);
    if (ended.accepted)
    {
        // This program writes no ledger, so the tokens count as settled at
        // once. The share row alone bounds what is spent.
        of.share = budget::settled(std::move(of.share), ended.cost.tokens);
    }
    this->settle_waiting(of);
    this->step(budget);
}

void budget_share_manager::cancel(request_id const& request,
                                  budget_id const& budget)
{
    this->waiting.erase(request);
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        return;
    }
    auto& of = found->second;
    of.share = budget::cancel(std::move(of.share), request);
    this->settle_waiting(of);
}

void budget_share_manager::close()
{
    this->closing = true;
    this->closing_since = this->now.now();
    // A last spend row lets the next process at this address take over what is
    // not returned.
    this->spend_writer.write_soon();
    for (auto& [id, of] : this->accounts)
    {
        of.share = budget::close(std::move(of.share));
        this->step(id);
    }
}

bool budget_share_manager::closed() const
{
    if (this->is_large_fleet() &&
        !this->spend_writer.has_written_since(this->closing_since))
    {
        return false;
    }
    // A takeover has to finish before its tokens can be returned.
    return std::all_of(this->accounts.begin(), this->accounts.end(),
                       [](auto const& entry)
                       {
                           return budget::is_closed(entry.second.share) &&
                                  !entry.second.pending_takeover;
                       });
}

bool budget_share_manager::has_read_a_budget() const
{
    return this->accounts.empty() ||
           std::any_of(this->accounts.begin(), this->accounts.end(),
                       [](auto const& entry)
                       {
                           auto const& share = entry.second.share;
                           return share.seen.has_value() ||
                                  budget::free_tokens(share) > 0;
                       });
}

bool budget_share_manager::ready() const
{
    if (this->is_large_fleet())
    {
        return this->has_read_a_budget();
    }
    return std::all_of(this->accounts.begin(), this->accounts.end(),
                       [](auto const& entry)
                       {
                           auto const& share = entry.second.share;
                           return share.share_version != 0 ||
                                  share.conflicts > 3;
                       });
}

void budget_share_manager::step(budget_id const& budget)
{
    if (!this->spend_writer.ready())
    {
        return; // the previous router's shares may still be taken over
    }
    auto& of = this->accounts.at(budget);
    if (of.pending_takeover)
    {
        return;
    }
    auto const at = this->now.now();
    auto const early =
        at < of.first_draw_at || (this->routers <= 1 && !this->knows_fleet(at));
    // The first read is not delayed: this router is not ready without it.
    if (early && of.share.seen && of.share.waiting.empty() && !of.share.closing)
    {
        return;
    }
    if (of.first_read_queued && !of.share.waiting.empty())
    {
        this->read_rows(of);
        return;
    }
    this->allocate(of);
    this->update_draw_mode(of, at);
    auto next = budget::next_step(std::move(of.share), of.holder, at);
    of.share = std::move(next.state);
    switch (next.kind)
    {
    case budget::step_kind::none:
        break;
    case budget::step_kind::read:
        this->begin_read(of);
        break;
    case budget::step_kind::write:
        if (!run_part(this->log, "write share",
                      [&] { this->write(of, next.txn); }))
        {
            of.share = budget::after_write(
                std::move(of.share), of.holder,
                {store::commit_outcome::unknown, {}, {}}, at);
        }
        break;
    }
}

void budget_share_manager::settle_waiting(account& of)
{
    this->update_spend_limit(of);
    auto answered =
        budget::decide_waiting(std::move(of.share), this->now.now());
    of.share = std::move(answered.state);
    this->send_replies(answered.decisions);
    this->request_limit_raise(of);
}

void budget_share_manager::send_replies(
    std::vector<budget::decided_reservation> const& decided)
{
    for (auto const& one : decided)
    {
        auto const found = this->waiting.find(one.request);
        if (found == this->waiting.end())
        {
            continue;
        }
        auto const done = std::move(found->second);
        this->waiting.erase(found);
        // The others wait for their replies, too.
        run_part(this->log, "reservation", [&] { done(one.reply); });
    }
}

void budget_share_manager::tick()
{
    for (auto& [id, of] : this->accounts)
    {
        run_part(this->log, id.value,
                 [&, &budget = id, &account = of]
                 {
                     this->settle_waiting(account);
                     if (account.pending_takeover)
                     {
                         this->try_takeover(account);
                     }
                     this->step(budget);
                 });
    }
    if (this->is_large_fleet() && this->spend_writer.ready() && !this->closing)
    {
        this->exchange.tick(this->now.now());
    }
    run_after(this->timer, tick_interval, [this] { this->tick(); });
}

} // namespace caperpath::gateway
