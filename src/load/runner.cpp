#include "load/runner.hpp"

#include "load/caller.hpp"
#include "load/planner.hpp"
#include "load/report.hpp"

#include <caperpath/observe/stopwatch.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

namespace caperpath::load
{

namespace
{

constexpr std::int64_t us_per_ms = 1'000;

// Each worker takes the next request of the plan, waits for its start and runs
// it to its end. If all workers are busy, a request starts late. Latencies
// count from the intended start, so a slow fleet shows in the latencies instead
// of slowing the arrivals down.
class run_state
{
public:
    run_state(scenario const& plan, std::string const& run,
              observer const& watcher)
        : plan{plan}, watcher{watcher}, arrivals{plan, run}, sums{plan}
    {
    }

    results run()
    {
        std::vector<std::thread> workers;
        this->working = this->plan.max_open;
        for (std::int64_t i = 0; i < this->plan.max_open; ++i)
        {
            workers.emplace_back([this] { this->work(); });
        }
        this->report_until_done();
        for (auto& worker : workers)
        {
            worker.join();
        }
        return this->sums.so_far();
    }

private:
    void work()
    {
        caller sender{this->plan, this->watch};
        while (auto const planned = this->take())
        {
            this->wait_until(planned->start_us);
            auto const one = sender.run(*planned);
            this->sums.add(one);
            std::lock_guard const lock{this->mutex};
            this->watcher.ended(one);
        }
        std::lock_guard const lock{this->mutex};
        --this->working;
        this->done.notify_one();
    }

    std::optional<planned_request> take()
    {
        std::lock_guard const lock{this->mutex};
        return this->arrivals.next();
    }

    void wait_until(std::int64_t start_us) const
    {
        auto const left = start_us - this->watch.elapsed_us();
        if (left > 0)
        {
            std::this_thread::sleep_for(std::chrono::microseconds{left});
        }
    }

    void report_until_done()
    {
        auto const all_done = [this]
        {
            return this->working == 0;
        };
        std::unique_lock lock{this->mutex};
        if (this->plan.progress.ms == 0)
        {
            this->done.wait(lock, all_done);
            return;
        }
        std::chrono::milliseconds const pause{this->plan.progress.ms};
        while (!this->done.wait_for(lock, pause, all_done))
        {
            duration const elapsed{this->watch.elapsed_us() / us_per_ms};
            this->watcher.progress(progress_line(this->sums.so_far(), elapsed));
        }
    }

    scenario const& plan;
    observer const& watcher;
    observe::stopwatch watch;
    std::mutex mutex;
    std::condition_variable done;
    planner arrivals;
    tally sums;
    std::int64_t working{0};
};

} // namespace

results run_scenario(scenario const& plan, std::string const& run,
                     observer const& watcher)
{
    return run_state{plan, run, watcher}.run();
}

} // namespace caperpath::load
