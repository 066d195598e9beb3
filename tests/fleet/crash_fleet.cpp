#include "fleet/crash_fleet.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr std::uint64_t fatal = 1;
constexpr std::uint64_t first_popular = 2;
constexpr std::uint64_t first_unique = 1'000'000;
constexpr duration fatal_run{60};
constexpr duration usual_run{300};
constexpr duration down_time{3'000};
constexpr duration told_after{20};
constexpr duration caller_returns{100};
constexpr duration grace{3'000};
constexpr std::size_t domains = 3;

} // namespace

crash_fleet::crash_fleet(crash_fleet_shape const& shape)
    : shape{shape}, random{shape.seed}, routers(shape.routers),
      servers(shape.servers), on_probation(shape.routers)
{
}

void crash_fleet::at(instant when, std::function<void()> what)
{
    this->events.emplace(when, std::move(what));
}

std::size_t crash_fleet::drawn_below(std::size_t end)
{
    return std::uniform_int_distribution<std::size_t>{0, end - 1}(this->random);
}

duration crash_fleet::drawn(double per_second)
{
    constexpr double ms_per_second = 1'000;
    std::exponential_distribution<double> gap{per_second / ms_per_second};
    return {1 + static_cast<std::int64_t>(gap(this->random))};
}

fingerprint crash_fleet::name_of(std::uint64_t request)
{
    return {0, request};
}

void crash_fleet::lose_domain_at(instant when)
{
    this->at(when,
             [this]
             {
                 for (std::size_t i = 0; i < this->servers.size(); i += domains)
                 {
                     this->crash(i);
                 }
             });
}

void crash_fleet::lose_store_until(instant when)
{
    this->store_from = when;
}

crash_fleet_result crash_fleet::run()
{
    this->at(instant{1}, [this] { this->arrive(); });
    if (this->shape.fatal_per_s > 0)
    {
        this->at(instant{1}, [this] { this->arrive_fatal(); });
    }
    if (this->shape.failures_per_s > 0)
    {
        this->at(instant{1}, [this] { this->fail_by_itself(); });
    }
    while (!this->events.empty() &&
           this->events.begin()->first < instant{this->shape.until.ms})
    {
        auto next = this->events.extract(this->events.begin());
        this->now = next.key();
        next.mapped()();
    }
    for (auto const& [request, entry] : this->routers.front().entries)
    {
        auto const is_held =
            judge(entry.evidence) == crash_verdict::quarantined;
        this->result.held += is_held && request != name_of(fatal) ? 1 : 0;
    }
    return this->result;
}

void crash_fleet::arrive()
{
    auto const popular = this->shape.popular;
    auto const request = popular > 0
                             ? first_popular + this->drawn_below(popular)
                             : first_unique + this->unique++;
    this->result.requests += 1;
    this->begin(
        {request, this->drawn_below(this->shape.routers), 0, false, {}, {}});
    this->at(this->now + this->drawn(this->shape.requests_per_s),
             [this] { this->arrive(); });
}

void crash_fleet::arrive_fatal()
{
    this->begin(
        {fatal, this->drawn_below(this->shape.routers), 0, false, {}, {}});
    this->at(this->now + this->drawn(this->shape.fatal_per_s),
             [this] { this->arrive_fatal(); });
}

void crash_fleet::fail_by_itself()
{
    this->crash(this->drawn_below(this->servers.size()));
    this->at(this->now + this->drawn(this->shape.failures_per_s),
             [this] { this->fail_by_itself(); });
}

void crash_fleet::begin(attempt one)
{
    auto& record = this->routers[one.router];
    auto const verdict = judge(evidence_of(record, name_of(one.request)));
    if (verdict == crash_verdict::quarantined)
    {
        this->result.refused += one.request == fatal ? 0 : 1;
        return;
    }
    auto const alone = this->on_probation[one.router].contains(one.request);
    if (verdict == crash_verdict::on_probation && alone)
    {
        this->give_up(one);
        return;
    }
    if (verdict == crash_verdict::on_probation)
    {
        this->on_probation[one.router].insert(one.request);
    }
    this->send(std::move(one));
}

std::optional<std::size_t> crash_fleet::choose(attempt const& one)
{
    std::vector<std::size_t> open;
    std::vector<std::size_t> without_suspects;
    for (std::size_t i = 0; i < this->servers.size(); ++i)
    {
        auto const& each = this->servers[i];
        if (each.up_from > this->now || one.tried.contains(i) ||
            each.running.size() >= this->shape.batch)
        {
            continue;
        }
        open.push_back(i);
        auto const shared =
            std::any_of(each.running.begin(), each.running.end(),
                        [&one](auto const& entry)
                        {
                            return entry.second.router == one.router &&
                                   entry.second.known.crashes > 0;
                        });
        if (!shared)
        {
            without_suspects.push_back(i);
        }
    }
    auto const& from = one.known.crashes > 0 && !without_suspects.empty()
                           ? without_suspects
                           : open;
    return from.empty() ? std::nullopt
                        : std::optional{from[this->drawn_below(from.size())]};
}

void crash_fleet::send(attempt one)
{
    one.known = evidence_of(this->routers[one.router], name_of(one.request));
    auto const where = this->choose(one);
    if (!where)
    {
        this->give_up(one);
        return;
    }
    one.sends += 1;
    one.tried.insert(*where);
    if (one.request == fatal && this->third_crash &&
        this->now - *this->third_crash > grace)
    {
        this->result.late_fatal_sends += 1;
    }
    auto const run = ++this->runs;
    auto const is_fatal = one.request == fatal;
    this->servers[*where].running[run] = std::move(one);
    this->at(this->now + (is_fatal ? fatal_run : usual_run),
             [this, where, run] { this->finish(*where, run); });
}

void crash_fleet::finish(std::size_t where, std::uint64_t run)
{
    auto& running = this->servers[where].running;
    auto const found = running.find(run);
    if (found == running.end())
    {
        return;
    }
    if (found->second.request == fatal)
    {
        this->result.fatal_crashes += 1;
        if (this->result.fatal_crashes == crashes_to_quarantine)
        {
            this->third_crash = this->now;
        }
        this->crash(where);
        return;
    }
    auto const one = std::move(found->second);
    running.erase(found);
    this->on_probation[one.router].erase(one.request);
    auto const cleared =
        note_answer(this->routers[one.router], name_of(one.request), this->now);
    if (cleared)
    {
        this->share(one.router, one.request);
    }
}

void crash_fleet::crash(std::size_t where)
{
    auto ended = std::exchange(this->servers[where].running, {});
    this->servers[where].up_from = this->now + down_time;
    for (auto& [run, one] : ended)
    {
        this->was_at_crash(std::move(one));
    }
}

void crash_fleet::was_at_crash(attempt one)
{
    auto const verdict = judge(note_crash(
        this->routers[one.router], name_of(one.request), one.known, this->now));
    if (verdict != crash_verdict::suspected)
    {
        this->share(one.router, one.request);
        this->give_up(one);
        return;
    }
    if (one.sends >= this->shape.attempts)
    {
        this->share(one.router, one.request);
        this->give_up(one);
        return;
    }
    this->send(std::move(one));
}

void crash_fleet::give_up(attempt const& one)
{
    this->on_probation[one.router].erase(one.request);
    if (one.request == fatal)
    {
        return;
    }
    if (one.repeated)
    {
        this->result.failed += 1;
        return;
    }
    auto const other = this->drawn_below(this->shape.routers);
    this->at(this->now + caller_returns,
             [this, request = one.request, other] {
                 this->begin({request, other, 0, true, {}, {}});
             });
}

void crash_fleet::share(std::size_t from, std::uint64_t request)
{
    auto const arrives = std::max(this->now, this->store_from) + told_after;
    this->at(arrives,
             [this, from, request]
             {
                 auto const name = name_of(request);
                 auto const told = evidence_of(this->routers[from], name);
                 for (auto& record : this->routers)
                 {
                     merge_evidence(record, name, told, this->now);
                 }
             });
}

} // namespace caperpath::fleet
