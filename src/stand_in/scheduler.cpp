#include "stand_in/scheduler.hpp"

#include "stand_in/response_text.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace caperpath::stand_in
{

generation::generation(generation_request request) : request{std::move(request)}
{
    this->current.produced = this->request.first;
}

generation::progress generation::wait(std::int64_t next, duration span)
{
    std::unique_lock lock{this->mutex};
    this->wake.wait_for(lock, std::chrono::milliseconds{span.ms},
                        [this, next]
                        {
                            return this->current.produced > next ||
                                   this->current.state !=
                                       generation_state::running;
                        });
    return this->current;
}

void generation::start(std::int64_t cached_tokens)
{
    std::lock_guard const lock{this->mutex};
    this->current.cached_tokens = cached_tokens;
}

bool generation::produce()
{
    std::lock_guard const lock{this->mutex};
    ++this->current.produced;
    auto const last = this->current.produced >= this->request.last;
    if (last)
    {
        this->current.state = generation_state::finished;
    }
    this->wake.notify_all();
    return last;
}

void generation::end(generation_state state)
{
    std::lock_guard const lock{this->mutex};
    this->current.state = state;
    this->wake.notify_all();
}

scheduler::scheduler(engine_settings settings, clock time,
                     scheduler_hooks hooks)
    : settings{std::move(settings)}, time{std::move(time)},
      hooks{std::move(hooks)}, loop{[this]
                                    {
                                        this->run();
                                    }}
{
}

scheduler::~scheduler()
{
    this->stop();
}

std::shared_ptr<generation> scheduler::submit(generation_request request)
{
    std::lock_guard const lock{this->mutex};
    auto const running = static_cast<std::int64_t>(this->running.size());
    auto const waiting = static_cast<std::int64_t>(this->queued.size());
    auto const free = this->settings.slots - running;
    if (this->stopping || waiting >= free + this->settings.max_queue)
    {
        return nullptr;
    }
    rank const place{-request.priority, ++this->arrivals};
    auto added = std::make_shared<generation>(std::move(request));
    this->queued.emplace(place, added);
    this->report();
    this->wake.notify_one();
    return added;
}

void scheduler::cancel(std::shared_ptr<generation> const& ended)
{
    std::lock_guard const lock{this->mutex};
    this->cancel_if([&ended](item const& other) { return other == ended; });
}

std::int64_t scheduler::cancel(std::string const& request, std::int64_t attempt)
{
    std::lock_guard const lock{this->mutex};
    return this->cancel_if(
        [&request, attempt](item const& other)
        {
            return other->request.request == request &&
                   (attempt == 0 || other->request.attempt == attempt);
        });
}

template <class Matches>
std::int64_t scheduler::cancel_if(Matches const& matches)
{
    std::int64_t count = 0;
    auto const end_matching = [&matches, &count](auto const& entry)
    {
        if (!matches(entry.second))
        {
            return false;
        }
        entry.second->end(generation_state::cancelled);
        ++count;
        return true;
    };
    std::erase_if(this->queued, end_matching);
    std::erase_if(this->running, end_matching);
    this->sums.cancelled += count;
    if (count > 0)
    {
        this->report();
        this->wake.notify_one();
    }
    return count;
}

void scheduler::stop()
{
    {
        std::lock_guard const lock{this->mutex};
        this->stopping = true;
        this->cancel_if([](item const&) { return true; });
        this->wake.notify_one();
    }
    if (this->loop.joinable())
    {
        this->loop.join();
    }
}

scheduler::counts scheduler::totals() const
{
    std::lock_guard const lock{this->mutex};
    return this->sums;
}

void scheduler::run()
{
    while (true)
    {
        {
            std::unique_lock lock{this->mutex};
            if (!this->step(lock))
            {
                return;
            }
        }
        // With a token time of 0 this loop never sleeps; without the yield,
        // other threads would rarely get the lock.
        std::this_thread::yield();
    }
}

bool scheduler::step(std::unique_lock<std::mutex>& lock)
{
    this->admit(this->time.now());
    if (this->stopping)
    {
        return false;
    }
    if (this->running.empty())
    {
        this->wake.wait(lock, [this]
                        { return this->stopping || !this->queued.empty(); });
        return true;
    }
    auto const now = this->time.now();
    auto const due = this->running.begin()->first;
    auto const left = std::ceil(due - static_cast<double>(now.ms));
    if (left > 0)
    {
        std::chrono::milliseconds const pause{static_cast<std::int64_t>(left)};
        this->wake.wait_for(lock, pause);
        return true;
    }
    this->produce_due(now);
    return true;
}

void scheduler::admit(instant now)
{
    auto const slots = static_cast<std::size_t>(this->settings.slots);
    auto const waiting = this->queued.size();
    while (!this->queued.empty() && this->running.size() < slots)
    {
        auto const next = this->queued.begin()->second;
        this->queued.erase(this->queued.begin());
        auto const cached = this->hooks.started(next->request);
        next->start(cached);
        if (next->request.first >= next->request.last)
        {
            next->end(generation_state::finished);
            continue;
        }
        auto const due = static_cast<double>(now.ms) +
                         this->first_token_ms(next->request, cached);
        this->running.emplace(due, next);
    }
    if (this->queued.size() != waiting)
    {
        this->report();
    }
}

void scheduler::produce_due(instant now)
{
    auto const at = static_cast<double>(now.ms);
    auto const pause = this->step_ms();
    auto const before = this->running.size();
    std::multimap<double, item> later;
    while (!this->running.empty() && this->running.begin()->first <= at)
    {
        auto entry = this->running.extract(this->running.begin());
        ++this->sums.tokens_generated;
        if (entry.mapped()->produce())
        {
            continue;
        }
        // Counts from the due time, so that small delays do not accumulate;
        // never in the past, so that a long delay causes no burst.
        entry.key() = std::max(entry.key() + pause, at);
        later.insert(std::move(entry));
    }
    this->running.merge(later);
    if (this->running.size() != before)
    {
        this->report();
    }
}

double scheduler::first_token_ms(generation_request const& request,
                                 std::int64_t cached) const
{
    constexpr double prefill_unit = 1'000; // tokens
    auto const fresh = std::max<std::int64_t>(
        prompt_tokens(request.prompt) + request.first - cached, 0);
    auto const prefill =
        static_cast<double>(fresh) / prefill_unit *
        static_cast<double>(this->settings.prefill_per_1000_tokens.ms);
    auto const usual = static_cast<double>(this->settings.first_token.ms);
    return (usual + prefill) * this->hooks.slowness();
}

double scheduler::step_ms() const
{
    constexpr double percent = 100;
    auto const others = static_cast<double>(this->running.size()) - 1;
    auto const slope =
        static_cast<double>(this->settings.batch_slope_percent) / percent;
    auto const load = others / static_cast<double>(this->settings.slots);
    auto const usual = static_cast<double>(this->settings.token_time.ms);
    return usual * (1 + slope * load) * this->hooks.slowness();
}

void scheduler::report() const
{
    this->hooks.changed(static_cast<std::int64_t>(this->running.size()),
                        static_cast<std::int64_t>(this->queued.size()));
}

} // namespace caperpath::stand_in
