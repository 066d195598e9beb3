#include "gateway/budget_book.hpp"

#include "gateway/call_after.hpp"
#include "gateway/share_sizes.hpp"

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
constexpr duration tick_time{40};
/// The least share, as a part of what was paid: enough for some requests of a
/// small customer while the store is away. A share by the size of single
/// requests would scatter all of a small budget over idle routers.
constexpr token_count least_share_part = 60;
/// All routers of a site start together; drawn at once, n routers make n * n /
/// 2 tries for each budget.
constexpr std::uint64_t first_draw_spread_ms = 5'000;

/// Before any request a budget is taken to be made for so many: the first
/// shares are even, and the first traffic corrects them.
constexpr double first_requests = 400;
/// The mean size of requests follows some ten of them.
constexpr double size_weight = 0.1;
constexpr double size_weight_of_all = 0.02;

} // namespace

void budget_book::account::raise_paid()
{
    if (this->share.seen)
    {
        auto& row = this->share.seen->row;
        row.paid = std::max(row.paid, this->paid);
    }
}

budget_book::budget_book(
    boost::asio::any_io_executor const& executor, store::async_port port,
    std::string vm, std::string address, incarnation_id incarnation,
    std::string peer_address,
    std::function<void(std::string const& to, std::string const& bytes)> send,
    decision_log& log)
    : executor{executor}, timer{executor}, port{port}, vm{vm},
      incarnation{incarnation}, log{log},
      spending{executor,
               std::move(port),
               std::move(vm),
               std::move(address),
               incarnation,
               {[this] { return this->wanted_lines(); },
                [this] { return this->holdings_to_tell(); },
                [this] { return this->row_pause(); },
                [this] { this->pass_on(); },
                [this](auto const& dead, auto const& left)
                {
                    this->inherit(dead, left);
                }},
               log},
      exchange{std::move(peer_address), std::move(incarnation),
               this->share_for_peers(), this->now,
               std::move(send),         log}
{
}

void budget_book::start()
{
    this->began = this->now.now();
    this->spending.start();
    this->follow_rows();
    this->tick();
}

budget_book::account& budget_book::open_account(budget_id const& budget)
{
    auto const [found, added] = this->accounts.try_emplace(budget);
    auto& of = found->second;
    if (added)
    {
        of.share = budget::make_share(budget, policy, share_sizes());
        of.share.last_amount = 1; // a first share before any request
        of.holder = {this->incarnation, 1};
        auto const drawn =
            fleet::stable_hash(this->incarnation.value + "/" + budget.value) %
            first_draw_spread_ms;
        of.draws_from =
            this->now.now() + duration{static_cast<std::int64_t>(drawn)};
    }
    return of;
}

void budget_book::apply(fleet::site const& site)
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
            of.share.sizes.least_ahead = of.paid / least_share_part;
            if (of.mean_request == 0)
            {
                of.mean_request = static_cast<double>(of.paid) / first_requests;
                of.mean_square = of.mean_request * of.mean_request;
            }
            of.raise_paid();
            of.share.fruitless.reset();
        }
        if (this->closing)
        {
            of.share = budget::close(std::move(of.share));
        }
        this->step(id);
    }
}

void budget_book::pass_on()
{
    for (auto& [id, of] : this->accounts)
    {
        this->settle_waiting(of);
    }
}

void budget_book::reserve(request_id const& request, budget_id const& budget,
                          token_count amount, duration wait,
                          std::function<void(budget::reserve_reply)> done)
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        done({budget::reserve_verdict::undecidable, {}});
        return;
    }
    auto& of = found->second;
    this->exchange.note_request(budget, this->now.now());
    auto const size = static_cast<double>(amount);
    this->mean_of_all += this->mean_of_all > 0
                             ? size_weight_of_all * (size - this->mean_of_all)
                             : size;
    of.mean_request += size_weight * (size - of.mean_request);
    of.mean_square += size_weight * (size * size - of.mean_square);
    this->set_limit(of);
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
        this->raise_line(of);
        if (this->asks_peers())
        {
            this->exchange.want(budget, this->now.now());
        }
    }
    this->step(budget);
}

void budget_book::finish(request_id const& request, budget_id const& budget,
                         token_count used)
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
        // There is no ledger to write: the share row alone bounds the spend.
        of.share = budget::settled(std::move(of.share), ended.cost.tokens);
    }
    this->settle_waiting(of);
    this->step(budget);
}

void budget_book::cancel(request_id const& request, budget_id const& budget)
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

std::vector<log_field> budget_book::describe(budget_id const& budget) const
{
    auto const found = this->accounts.find(budget);
    if (found == this->accounts.end())
    {
        return {{"budget", "unknown"}};
    }
    auto const& share = found->second.share;
    auto const limit = share.spend_limit.value_or(0);
    auto const age = share.seen ? (this->now.now() - share.seen->at).ms : -1;
    return {{"free", std::to_string(budget::free_tokens(share))},
            {"below_line", std::to_string(limit - budget::used_tokens(share))},
            {"paid", std::to_string(found->second.paid)},
            {"left", std::to_string(
                         share.seen ? budget::ungranted(share.seen->row) : 0)},
            {"wanted", std::to_string(share.seen ? share.seen->row.wanted : 0)},
            {"row_age_ms", std::to_string(age)},
            {"busy", share.busy ? "yes" : "no"},
            {"store_failures", std::to_string(share.failures)}};
}

void budget_book::close()
{
    this->closing = true;
    this->closing_since = this->now.now();
    // What stays here is for the next process at this address.
    this->spending.hurry();
    for (auto& [id, of] : this->accounts)
    {
        of.share = budget::close(std::move(of.share));
        this->step(id);
    }
}

bool budget_book::closed() const
{
    if (this->asks_peers() &&
        !this->spending.has_written_since(this->closing_since))
    {
        return false;
    }
    // A share on its way here has to arrive before it can be given back.
    return std::all_of(this->accounts.begin(), this->accounts.end(),
                       [](auto const& entry) {
                           return budget::is_closed(entry.second.share) &&
                                  !entry.second.taking;
                       });
}

bool budget_book::knows_a_budget() const
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

bool budget_book::ready() const
{
    if (this->asks_peers())
    {
        return this->knows_a_budget();
    }
    return std::all_of(this->accounts.begin(), this->accounts.end(),
                       [](auto const& entry)
                       {
                           auto const& share = entry.second.share;
                           return share.share_version != 0 ||
                                  share.conflicts > 3;
                       });
}

void budget_book::step(budget_id const& budget)
{
    if (!this->spending.ready())
    {
        return; // shares of the router before may still be taken over
    }
    auto& of = this->accounts.at(budget);
    if (of.taking)
    {
        return;
    }
    auto const at = this->now.now();
    auto const early =
        at < of.draws_from || (this->routers <= 1 && !this->knows_fleet(at));
    // The row is read at once: without it this router is not ready.
    if (early && of.share.seen && of.share.waiting.empty() && !of.share.closing)
    {
        return;
    }
    this->deal(of);
    this->prepare_for_peers(of, at);
    auto next = budget::next_step(std::move(of.share), of.holder, at);
    of.share = std::move(next.state);
    switch (next.kind)
    {
    case budget::step_kind::none:
        break;
    case budget::step_kind::look:
        this->look(of);
        break;
    case budget::step_kind::write:
        this->write(of, next.txn);
        break;
    }
}

void budget_book::settle_waiting(account& of)
{
    this->set_limit(of);
    auto answered =
        budget::answer_waiting(std::move(of.share), this->now.now());
    of.share = std::move(answered.state);
    this->answer(answered.answers);
    this->raise_line(of);
}

void budget_book::answer(
    std::vector<budget::answered_reservation> const& answers)
{
    for (auto const& one : answers)
    {
        auto const found = this->waiting.find(one.request);
        if (found == this->waiting.end())
        {
            continue;
        }
        auto const done = std::move(found->second);
        this->waiting.erase(found);
        done(one.reply);
    }
}

void budget_book::tick()
{
    for (auto& [id, of] : this->accounts)
    {
        this->settle_waiting(of);
        if (of.taking)
        {
            this->try_take_over(of);
        }
        this->step(id);
    }
    if (this->asks_peers() && this->spending.ready() && !this->closing)
    {
        this->exchange.tick(this->now.now());
    }
    call_after(this->timer, tick_time, [this] { this->tick(); });
}

} // namespace caperpath::gateway
