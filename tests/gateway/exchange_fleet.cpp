#include "gateway/exchange_fleet.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr duration tick_interval{40};
constexpr duration one_way_delay{1};
constexpr double mean_request = 3'000;

} // namespace

exchange_fleet::exchange_fleet(std::size_t routers,
                               std::map<budget_id, token_count> const& paid)
    : routers(routers), ungranted{paid}, paid{paid},
      null_device{open("/dev/null", O_WRONLY | O_CLOEXEC)},
      log{std::make_unique<decision_log>(this->loop.get_executor(),
                                         this->null_device, "vm")}
{
    for (std::size_t i = 0; i < routers; ++i)
    {
        auto& one = this->routers[i];
        one.address = "10.0." + std::to_string(i) + ".1:7000";
        this->by_address[one.address] = i;
    }
    for (std::size_t i = 0; i < routers; ++i)
    {
        this->start(i);
    }
}

std::map<std::string, incarnation_id> exchange_fleet::live() const
{
    std::map<std::string, incarnation_id> all;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        auto const& one = this->routers[i];
        all[one.address] = {"vm-" + std::to_string(i) + "-" +
                            std::to_string(one.incarnation_number)};
    }
    return all;
}

void exchange_fleet::start(std::size_t router)
{
    auto& one = this->routers[router];
    auto const all = this->live();
    one.exchange = std::make_unique<token_exchange>(
        one.address, all.at(one.address), this->access_of(router),
        caperpath::clock{[this]
                         {
                             return this->now;
                         }},
        [this, router](std::string const& to, std::string const& bytes)
        { this->send(router, to, bytes); },
        *this->log);
    one.exchange->set_peers(all, this->now);
}

void exchange_fleet::restart(std::size_t router)
{
    auto& one = this->routers[router];
    one.incarnation_number += 1;
    one.shares.clear();
    this->start(router);
}

exchange_fleet::~exchange_fleet()
{
    this->log.reset();
    close(this->null_device);
}

share_access exchange_fleet::access_of(std::size_t router)
{
    auto const share = [ this, router ](budget_id const& budget) -> auto&
    {
        return this->routers[router].shares[budget];
    };
    share_access access;
    access.view = [this, share](budget_id const& budget)
    {
        auto const& of = share(budget);
        share_view view;
        view.free = std::max<token_count>(0, of.free - of.lacking);
        view.lacking = std::max<token_count>(0, of.lacking - of.free);
        view.spent = of.spent;
        view.paid = this->paid.at(budget);
        view.ungranted = this->ungranted.at(budget);
        view.mean_request = mean_request;
        return view;
    };
    access.in_use = [this, router]
    {
        std::vector<budget_id> all;
        for (auto const& [budget, of] : this->routers[router].shares)
        {
            if (of.free > 0 || of.spent > 0)
            {
                all.push_back(budget);
            }
        }
        return all;
    };
    access.known = [this]
    {
        std::vector<budget_id> all;
        for (auto const& [budget, tokens] : this->paid)
        {
            all.push_back(budget);
        }
        return all;
    };
    access.take = [this, router](budget_id const& budget, token_count tokens,
                                 duration wait,
                                 std::function<void(bool)> const& done)
    {
        waiting_take const one{router, budget, tokens, this->now + wait, done};
        if (!this->take_now(one))
        {
            this->waiting_takes.push_back(one);
        }
    };
    access.put = [share](budget_id const& budget, token_count tokens)
    {
        share(budget).free += tokens;
    };
    access.reject = [share](budget_id const& budget, duration retry_after)
    {
        share(budget).rejected = retry_after;
        share(budget).lacking = 0;
    };
    access.set_pool_target =
        [share](budget_id const& budget, token_count target)
    {
        share(budget).target = target;
    };
    access.draw_alone = [share](budget_id const& budget)
    {
        share(budget).draws_alone = true;
    };
    return access;
}

bool exchange_fleet::take_now(waiting_take const& one)
{
    auto& of = this->routers[one.router].shares[one.budget];
    auto& row = this->ungranted.at(one.budget);
    auto const drawn = std::clamp<token_count>(one.tokens - of.free, 0, row);
    of.free += drawn;
    row -= drawn;
    if (of.free < one.tokens)
    {
        return false;
    }
    of.free -= one.tokens;
    one.done(true);
    return true;
}

void exchange_fleet::settle_waiting_takes()
{
    for (auto const& one : std::exchange(this->waiting_takes, {}))
    {
        if (this->take_now(one))
        {
            continue;
        }
        if (this->now >= one.until)
        {
            one.done(false);
            continue;
        }
        this->waiting_takes.push_back(one);
    }
}

void exchange_fleet::send(std::size_t from, std::string const& to,
                          std::string const& bytes)
{
    auto& sender = this->routers[from];
    sender.sent += 1;
    sender.bytes += bytes.size();
    this->datagram_count += 1;
    auto const lost = this->loss_interval > 0 &&
                      this->datagram_count % this->loss_interval == 0;
    if (!lost)
    {
        this->datagrams.push_back({this->now + one_way_delay, from, to, bytes});
    }
}

void exchange_fleet::deliver_due()
{
    while (!this->datagrams.empty() && this->datagrams.front().due <= this->now)
    {
        auto const got = std::move(this->datagrams.front());
        this->datagrams.pop_front();
        auto const to = this->by_address.at(got.to);
        if (!this->cut.contains(got.from) && !this->cut.contains(to))
        {
            this->routers[to].exchange->receive(this->routers[got.from].address,
                                                got.bytes, this->now);
        }
    }
}

void exchange_fleet::run(duration span)
{
    for (std::int64_t ms = 1; ms <= span.ms; ++ms)
    {
        this->now = this->now + duration{1};
        this->deliver_due();
        this->settle_waiting_takes();
        if (this->now.ms % tick_interval.ms != 0)
        {
            continue;
        }
        for (auto& one : this->routers)
        {
            one.exchange->tick(this->now);
        }
    }
}

void exchange_fleet::deliver_all()
{
    while (!this->datagrams.empty())
    {
        this->run(duration{1});
    }
}

bool exchange_fleet::request(std::size_t router, budget_id const& budget,
                             token_count tokens, duration wait)
{
    auto& of = this->routers[router].shares[budget];
    auto& exchange = *this->routers[router].exchange;
    of.lacking = tokens;
    of.rejected.reset();
    exchange.count_request(budget, this->now);
    exchange.request_tokens(budget, this->now);
    for (std::int64_t ms = 0; ms < wait.ms; ++ms)
    {
        if (of.rejected)
        {
            return false;
        }
        if (of.free >= tokens)
        {
            of.lacking = 0;
            of.free -= tokens;
            of.spent += tokens;
            return true;
        }
        this->run(duration{1});
    }
    of.lacking = 0;
    return false;
}

std::size_t exchange_fleet::coordinator(budget_id const& budget)
{
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        if (this->routers[i].exchange->is_coordinator(budget))
        {
            return i;
        }
    }
    return this->routers.size();
}

} // namespace caperpath::gateway
