#include "gateway/token_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr double thousandths = 1'000;
/// A router that was heard of so lately is there, whatever the rows say.
constexpr duration counts_as_alive{10'000};

std::int64_t in_thousandths(double count)
{
    return std::llround(count * thousandths);
}

} // namespace

token_exchange::token_exchange(
    std::string address, incarnation_id self, share_access shares,
    caperpath::clock time,
    std::function<void(std::string const&, std::string const&)> send,
    decision_log& log)
    : self{std::move(address)}, incarnation{std::move(self)}, shares{std::move(
                                                                  shares)},
      time{std::move(time)}, send{std::move(send)}, log{log}
{
}

void token_exchange::note_routers(
    std::map<std::string, incarnation_id> const& live, instant now)
{
    std::map<vm_id, peer> next;
    for (auto const& [address, router] : live)
    {
        vm_id const vm{address};
        if (vm == this->self)
        {
            continue;
        }
        auto const found = this->peers.find(vm);
        auto const is_known =
            found != this->peers.end() && found->second.incarnation == router;
        next[vm] = is_known ? found->second : peer{router};
    }
    // A router that was heard of may be newer than the rows that were read.
    for (auto const& [vm, one] : this->peers)
    {
        auto const is_heard =
            one.heard_at > instant{} && now - one.heard_at < counts_as_alive;
        if (is_heard)
        {
            next[vm] = one;
        }
    }
    auto const same = next.size() == this->peers.size() &&
                      std::equal(next.begin(), next.end(), this->peers.begin(),
                                 [](auto const& a, auto const& b)
                                 { return a.first == b.first; });
    if (this->peers.empty() && !next.empty())
    {
        this->known_since = now;
    }
    this->peers = std::move(next);
    if (same)
    {
        return;
    }
    for (auto& [budget, of] : this->trades)
    {
        of.coordinators.clear();
        std::erase_if(of.routers, [this](auto const& entry)
                      { return !this->peers.contains(entry.first); });
    }
}

token_exchange::trade& token_exchange::trade_of(budget_id const& budget)
{
    auto& of = this->trades[budget];
    if (of.coordinators.empty())
    {
        std::vector<vm_id> vms{this->self};
        for (auto const& [vm, one] : this->peers)
        {
            vms.push_back(vm);
        }
        of.coordinators = budget::coordinators(budget, vms);
    }
    return of;
}

bool token_exchange::is_coordinator(budget_id const& budget)
{
    return this->trade_of(budget).coordinators.front() == this->self;
}

bool token_exchange::is_silent(vm_id const& router, instant now) const
{
    auto const found = this->peers.find(router);
    return found == this->peers.end() || now < found->second.silent_until;
}

bool token_exchange::is_reachable(vm_id const& router, instant now) const
{
    auto const found = this->peers.find(router);
    return found != this->peers.end() && now >= found->second.silent_until &&
           !budget::is_overdue(this->sent, found->second.incarnation);
}

bool token_exchange::may_be_answered(budget_id const& budget, instant now)
{
    auto const& coordinators = this->trade_of(budget).coordinators;
    return std::any_of(coordinators.begin(), coordinators.end(),
                       [&](vm_id const& one) {
                           return one != this->self &&
                                  !this->is_silent(one, now);
                       });
}

double token_exchange::requests(budget_id const& budget, instant now) const
{
    auto const found = this->trades.find(budget);
    return found == this->trades.end()
               ? 0
               : budget::value_at(found->second.requests, now);
}

void token_exchange::note_request(budget_id const& budget, instant now)
{
    auto& of = this->trade_of(budget);
    of.requests = budget::counted(of.requests, now);
    this->all_requests = budget::counted(this->all_requests, now);
}

peer_packet& token_exchange::packet_to(vm_id const& to)
{
    auto& packet = this->packets[to];
    auto const entries = packet.transfers.size() + packet.reports.size() +
                         packet.asks.size() + packet.denials.size() +
                         packet.recalls.size() + packet.confirmed.size() / 2;
    if (entries >= most_packet_entries)
    {
        this->flush();
        return this->packets[to];
    }
    return packet;
}

void token_exchange::flush()
{
    for (auto& [to, packet] : std::exchange(this->packets, {}))
    {
        auto const found = this->peers.find(to);
        packet.from = this->incarnation;
        packet.to = found == this->peers.end() ? incarnation_id{}
                                               : found->second.incarnation;
        packet.all_requests = in_thousandths(
            budget::value_at(this->all_requests, this->time.now()));
        this->send(to.value, encode(packet));
    }
}

void token_exchange::receive(std::string const& from, std::string const& bytes,
                             instant now)
{
    auto const read = value_or_error([&] { return decode_packet(bytes); });
    if (auto const* fault = std::get_if<error>(&read))
    {
        this->log.fault(*fault);
        return;
    }
    this->hear({from}, std::get<peer_packet>(read), now);
    this->flush();
}

void token_exchange::hear(vm_id const& from, peer_packet const& packet,
                          instant now)
{
    auto& sender = this->peers[from];
    if (sender.incarnation != packet.from)
    {
        this->sent =
            budget::abandoned(std::move(this->sent), sender.incarnation);
        sender.incarnation = packet.from;
    }
    sender.heard_at = now;
    sender.all_requests =
        static_cast<double>(packet.all_requests) / thousandths;
    sender.silent_until = {};
    if (packet.to == this->incarnation)
    {
        this->take_transfers(from, packet);
    }
    for (auto const& one : packet.reports)
    {
        this->take_report(from, one, now);
    }
    for (auto const& one : packet.asks)
    {
        this->serve(from, one, now);
    }
    for (auto const& one : packet.recalls)
    {
        this->serve_recall(from, one);
    }
    for (auto const& one : packet.denials)
    {
        this->take_denial(from, one, now);
    }
}

void token_exchange::take_transfers(vm_id const& from,
                                    peer_packet const& packet)
{
    this->sent =
        budget::confirmed(std::move(this->sent), packet.from, packet.confirmed);
    for (auto const& one : packet.transfers)
    {
        auto step =
            budget::take(std::move(this->taken), packet.from, one.number);
        this->taken = std::move(step.taken);
        this->packet_to(from).confirmed.push_back(one.number);
        if (!step.is_new)
        {
            continue;
        }
        this->trade_of(one.budget).asked.reset();
        this->shares.put(one.budget, one.tokens);
    }
}

void token_exchange::take_report(vm_id const& from, stock_report const& report,
                                 instant now)
{
    auto& stock = this->trade_of(report.budget).routers[from];
    stock.free = report.free;
    stock.spent = report.spent;
    stock.requests = {static_cast<double>(report.requests) / thousandths, now};
}

void token_exchange::send_transfers(instant now)
{
    auto step = budget::take_due(std::move(this->sent), now);
    this->sent = std::move(step.sent);
    if (step.due.empty())
    {
        return;
    }
    for (auto const& [vm, one] : this->peers)
    {
        auto const found = step.due.find(one.incarnation);
        if (found == step.due.end())
        {
            continue;
        }
        for (auto const& transfer : found->second)
        {
            this->packet_to(vm).transfers.push_back(transfer);
        }
    }
}

void token_exchange::tick(instant now)
{
    for (auto& [budget, of] : this->trades)
    {
        if (of.asked)
        {
            this->ask_next(budget, of, now);
        }
        else if (this->shares.view(budget).lacking > 0)
        {
            this->want(budget, now);
        }
    }
    this->report(now);
    this->distribute(now);
    this->send_transfers(now);
    this->flush();
}

} // namespace caperpath::gateway