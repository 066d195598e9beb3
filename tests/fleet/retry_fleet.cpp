#include "fleet/retry_fleet.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::fleet
{

namespace
{

constexpr duration step_time{100};
constexpr duration settling_time{60'000};
/// Delay until the store applies a late heartbeat.
constexpr duration apply_delay{5'000};

service_id const service{"orders"};

/// The number of times in the closed interval from `first` to `last`.
std::int64_t count_in(std::vector<std::int64_t> const& all, std::int64_t first,
                      std::int64_t last)
{
    auto const from = std::lower_bound(all.begin(), all.end(), first);
    auto const to = std::upper_bound(from, all.end(), last);
    return to - from;
}

} // namespace

retry_fleet::retry_fleet(retry_limit limit) : limit{limit}
{
}

std::size_t retry_fleet::start()
{
    auto const number = this->routers.size();
    process made{.id = {"r" + std::to_string(number)},
                 .next_heartbeat = this->time,
                 .next_read = this->time,
                 .known = {},
                 .lease = {},
                 .window = retry_window{this->limit}};
    this->routers.push_back(std::move(made));
    return number;
}

void retry_fleet::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i)
    {
        this->start();
    }
}

void retry_fleet::start_settled(std::size_t count)
{
    this->start(count);
    this->advance(settling_time);
}

void retry_fleet::kill(std::size_t router)
{
    this->routers[router].alive = false;
}

void retry_fleet::kill_all()
{
    for (auto& one : this->routers)
    {
        one.alive = false;
    }
}

void retry_fleet::stop(std::size_t router)
{
    auto& one = this->routers[router];
    one.stopping = true;
    if (this->store_up && one.can_write)
    {
        this->rows.erase(one.id);
    }
}

void retry_fleet::suspend(std::size_t router, duration span)
{
    auto& one = this->routers[router];
    one.awake_at = std::max(one.awake_at, this->time) + span;
    one.suspended = one.suspended + span;
}

void retry_fleet::set_store(bool up)
{
    this->store_up = up;
}

void retry_fleet::set_reads(std::size_t router, bool open)
{
    this->routers[router].can_read = open;
}

void retry_fleet::set_writes(std::size_t router, bool open)
{
    this->routers[router].can_write = open;
}

bool retry_fleet::is_running(process const& one) const
{
    return one.alive && one.awake_at <= this->time;
}

instant retry_fleet::monotonic(process const& one) const
{
    return this->time - one.suspended;
}

void retry_fleet::schedule(instant when, std::function<void()> run)
{
    this->calls.push_back({when, std::move(run)});
}

void retry_fleet::send_heartbeat(process& one)
{
    one.next_heartbeat = this->monotonic(one) + heartbeat_interval;
    if (!this->store_up || !one.can_write)
    {
        return;
    }
    auto const sent = this->time;
    auto const apply = [this, id = one.id]
    {
        this->version += 1;
        this->rows[id] = {id, "address of " + id.value, this->version};
    };
    auto const outcome = this->next_outcome();
    if (outcome == heartbeat_outcome::applied_late)
    {
        this->schedule(this->time + apply_delay, apply);
        return;
    }
    apply();
    if (outcome == heartbeat_outcome::acknowledged)
    {
        this->schedule(this->time + this->call_time,
                       [this, &one, sent] {
                           one.lease = renewed(one.lease, {sent, this->time},
                                               this->limit.window);
                       });
    }
}

void retry_fleet::read_rows(process& one)
{
    auto const now = this->monotonic(one);
    if (!this->store_up || !one.can_read)
    {
        one.next_read = now + heartbeat_interval;
        return;
    }
    one.next_read = now + read_interval(one.known);
    std::vector<heartbeat> all;
    for (auto const& [id, row] : this->rows)
    {
        all.push_back(row);
    }
    this->schedule(this->time + this->call_time,
                   [this, &one, sent = this->time, all = std::move(all)]
                   {
                       if (this->is_running(one))
                       {
                           one.known = update_membership(
                               std::move(one.known), all, {sent, this->time});
                       }
                   });
}

void retry_fleet::run_due_tasks(process& one)
{
    auto const now = this->monotonic(one);
    if (!one.stopping && now >= one.next_heartbeat)
    {
        this->send_heartbeat(one);
    }
    if (now >= one.next_read)
    {
        this->read_rows(one);
    }
}

void retry_fleet::step()
{
    auto due = std::stable_partition(this->calls.begin(), this->calls.end(),
                                     [this](call const& one)
                                     { return one.at > this->time; });
    std::vector<call> now{std::make_move_iterator(due),
                          std::make_move_iterator(this->calls.end())};
    this->calls.erase(due, this->calls.end());
    for (auto const& one : now)
    {
        one.run();
    }
    for (auto& one : this->routers)
    {
        if (this->is_running(one))
        {
            this->run_due_tasks(one);
        }
    }
}

void retry_fleet::advance(duration span)
{
    auto const end = this->time + span;
    this->step();
    while (this->time < end)
    {
        this->time = std::min(end, this->time + step_time);
        this->step();
    }
}

void retry_fleet::request(std::size_t router, std::int64_t count)
{
    auto& one = this->routers[router];
    if (!this->is_running(one) || one.stopping)
    {
        return;
    }
    for (std::int64_t i = 0; i < count; ++i)
    {
        one.window.note_request(service, this->time);
        this->requested.push_back(this->time.ms);
    }
}

void retry_fleet::request(std::int64_t count)
{
    for (auto const router : this->running())
    {
        this->request(router, count);
    }
}

std::int64_t retry_fleet::sharers(process const& one) const
{
    return retry_allowance_sharers(one.known, one.lease, one.id,
                                   this->limit.window, this->time);
}

void retry_fleet::retry_all()
{
    for (auto const router : this->running())
    {
        auto& one = this->routers[router];
        while (one.window.take(service, this->sharers(one), this->time))
        {
            this->retried.push_back(this->time.ms);
        }
    }
}

void retry_fleet::run_while_rejecting(duration span, std::int64_t count)
{
    auto const end = this->time + span;
    while (this->time < end)
    {
        this->advance(step_time);
        this->request(count);
        this->retry_all();
    }
}

std::vector<std::size_t> retry_fleet::running() const
{
    std::vector<std::size_t> all;
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        if (this->is_running(this->routers[i]) && !this->routers[i].stopping)
        {
            all.push_back(i);
        }
    }
    return all;
}

std::int64_t retry_fleet::retries() const
{
    return std::ssize(this->retried);
}

instant retry_fleet::now() const
{
    return this->time;
}

/// Counts the requests of the window, of the one before it or of the one half a
/// window before it, whichever are most.
double retry_fleet::excess_from(std::int64_t first) const
{
    auto const span = this->limit.window.ms;
    auto const most = std::max(
        {count_in(this->requested, first, first + span),
         count_in(this->requested, first - span, first),
         count_in(this->requested, first - span / 2, first + span / 2)});
    auto const taken = count_in(this->retried, first, first + span);
    return static_cast<double>(taken) - this->limit.allowance -
           this->limit.ratio * static_cast<double>(most);
}

double retry_fleet::max_excess() const
{
    auto worst = -this->limit.allowance;
    if (this->retried.empty())
    {
        return worst;
    }
    auto const span = this->limit.window.ms;
    for (auto at = this->retried.front() - span; at <= this->retried.back();
         at += step_time.ms / 2)
    {
        worst = std::max(worst, this->excess_from(at));
    }
    std::optional<std::int64_t> before;
    for (auto const at : this->retried)
    {
        if (before != at)
        {
            worst = std::max(
                {worst, this->excess_from(at), this->excess_from(at - span)});
        }
        before = at;
    }
    return worst;
}

} // namespace caperpath::fleet
