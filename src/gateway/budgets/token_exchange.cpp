#include "gateway/budgets/token_exchange.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr double thousandths = 1'000;
/// A router that sent a packet this recently counts as alive, whatever the
/// heartbeat rows say.
constexpr duration peer_lifetime{10'000};

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

void token_exchange::set_peers(
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
    // A router that sent packets may be newer than the heartbeat rows read.
    for (auto const& [vm, one] : this->peers)
    {
        auto const is_recent = one.received_at > instant{} &&
                               now - one.received_at < peer_lifetime;
        if (is_recent)
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
        this->peers_known_since = now;
    }
    this->peers = std::move(next);
    if (same)
    {
        return;
    }
    for (auto& [budget, of] : this->states)
    {
        of.coordinators.clear();
        std::erase_if(of.routers, [this](auto const& entry)
                      { return !this->peers.contains(entry.first); });
    }
}

token_exchange::budget_state& token_exchange::state_of(budget_id const& budget)
{
    auto& of = this->states[budget];
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
    return this->state_of(budget).coordinators.front() == this->self;
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
           !budget::is_overdue(this->outgoing, found->second.incarnation);
}

bool token_exchange::may_get_response(budget_id const& budget, instant now)
{
    auto const& coordinators = this->state_of(budget).coordinators;
    return std::any_of(coordinators.begin(), coordinators.end(),
                       [&](vm_id const& one) {
                           return one != this->self &&
                                  !this->is_silent(one, now);
                       });
}

double token_exchange::recent_requests(budget_id const& budget,
                                       instant now) const
{
    auto const found = this->states.find(budget);
    return found == this->states.end()
               ? 0
               : budget::value_at(found->second.requests, now);
}

void token_exchange::count_request(budget_id const& budget, instant now)
{
    auto& of = this->state_of(budget);
    of.requests = budget::counted(of.requests, now);
    this->all_requests = budget::counted(this->all_requests, now);
}

peer_packet& token_exchange::packet_to(vm_id const& to)
{
    auto& packet = this->packets[to];
    // A confirmation is only a number: two count as one entry.
    auto const entries = packet.transfers.size() + packet.reports.size() +
                         packet.token_requests.size() +
                         packet.token_rejections.size() +
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
        this->log.write_error(*fault);
        return;
    }
    this->handle_packet({from}, std::get<peer_packet>(read), now);
    this->flush();
}

void token_exchange::handle_packet(vm_id const& from, peer_packet const& packet,
                                   instant now)
{
    auto& sender = this->peers[from];
    if (sender.incarnation != packet.from)
    {
        this->outgoing =
            budget::abandoned(std::move(this->outgoing), sender.incarnation);
        sender.incarnation = packet.from;
    }
    sender.received_at = now;
    sender.all_requests =
        static_cast<double>(packet.all_requests) / thousandths;
    sender.silent_until = {};
    if (packet.to == this->incarnation)
    {
        this->handle_transfers(from, packet);
    }
    for (auto const& one : packet.reports)
    {
        this->handle_report(from, one, now);
    }
    for (auto const& one : packet.token_requests)
    {
        this->serve_request(from, one, now);
    }
    for (auto const& one : packet.recalls)
    {
        this->serve_recall(from, one);
    }
    for (auto const& one : packet.token_rejections)
    {
        this->handle_rejection(from, one, now);
    }
}

void token_exchange::handle_transfers(vm_id const& from,
                                      peer_packet const& packet)
{
    this->outgoing = budget::confirmed(std::move(this->outgoing), packet.from,
                                       packet.confirmed);
    for (auto const& one : packet.transfers)
    {
        auto step =
            budget::take(std::move(this->incoming), packet.from, one.number);
        this->incoming = std::move(step.taken);
        this->packet_to(from).confirmed.push_back(one.number);
        if (!step.is_new)
        {
            continue;
        }
        this->state_of(one.budget).pending.reset();
        this->shares.put(one.budget, one.tokens);
    }
}

void token_exchange::handle_report(vm_id const& from,
                                   stock_report const& report, instant now)
{
    auto& stock = this->state_of(report.budget).routers[from];
    stock.free = report.free;
    stock.spent = report.spent;
    stock.requests = {static_cast<double>(report.requests) / thousandths, now};
}

void token_exchange::send_transfers(instant now)
{
    auto step = budget::take_due(std::move(this->outgoing), now);
    this->outgoing = std::move(step.sent);
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
    for (auto& [budget, of] : this->states)
    {
        if (of.pending)
        {
            this->retry_request(budget, of, now);
        }
        else if (this->shares.view(budget).lacking > 0)
        {
            this->request_tokens(budget, now);
        }
    }
    this->send_reports(now);
    this->distribute(now);
    this->send_transfers(now);
    this->flush();
}

} // namespace caperpath::gateway