#ifndef CAPERPATH_STAND_IN_SCHEDULER_HPP
#define CAPERPATH_STAND_IN_SCHEDULER_HPP

#include "stand_in/engine_settings.hpp"

#include <caperpath/base/clock.hpp>

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace caperpath::stand_in
{

/// A request to generate tokens. Immutable value.
struct generation_request
{
    std::string request;
    std::int64_t attempt{1};
    std::int64_t priority{0}; ///< larger runs first
    std::string prompt;
    std::int64_t first{0}; ///< index of the first token to send
    std::int64_t last{0};  ///< one past the index of the last token

    friend bool operator==(generation_request const&,
                           generation_request const&) = default;
};

enum class generation_state
{
    running,
    finished,
    cancelled
};

/// Progress of a generation, shared by the step loop and the connection that
/// sends it. A count suffices, since prompt and index determine a token. Thread
/// safe.
class generation
{
public:
    explicit generation(generation_request request);

    struct progress
    {
        std::int64_t produced{}; ///< one past the last token produced
        generation_state state{generation_state::running};
        std::int64_t cached_tokens{}; ///< of the prompt

        friend bool operator==(progress const&, progress const&) = default;
    };

    /// Waits up to `span` for token `next` or the end; returns the progress.
    progress wait(std::int64_t next, duration span);

    generation_request const request;

private:
    friend class scheduler;

    void start(std::int64_t cached_tokens);
    /// Adds a token; returns true if it was the last.
    bool produce();
    void end(generation_state state);

    std::mutex mutex;
    std::condition_variable wake;
    progress current;
};

/// Callbacks of the scheduler. They are called with the scheduler locked, so
/// they must not call it.
struct scheduler_hooks
{
    /// Called when a request gets a slot; returns the cached prompt tokens.
    std::function<std::int64_t(generation_request const&)> started;
    /// Returns the factor on each step time; 1 unless a fault slows the engine.
    std::function<double()> slowness;
    /// Called with the number of running and queued requests.
    std::function<void(std::int64_t running, std::int64_t queued)> changed;
};

/// Continuous batching: at most `slots` requests generate concurrently, the
/// others wait by priority, then by arrival. Uses one thread. Thread safe.
class scheduler
{
public:
    scheduler(engine_settings settings, clock time, scheduler_hooks hooks);
    ~scheduler();

    scheduler(scheduler const&) = delete;
    scheduler& operator=(scheduler const&) = delete;

    /// Queues a request. Returns null, and does not run it, if the queue is
    /// full.
    std::shared_ptr<generation> submit(generation_request request);

    /// Cancels a generation whose caller disconnected; no effect if it ended.
    void cancel(std::shared_ptr<generation> const& ended);

    /// Cancels all running and queued attempts of a request, or only `attempt`
    /// if it is above 0. Returns the number cancelled.
    std::int64_t cancel(std::string const& request, std::int64_t attempt);

    /// Cancels all generations and joins the thread. Idempotent.
    void stop();

    struct counts
    {
        std::int64_t tokens_generated{};
        std::int64_t cancelled{};

        friend bool operator==(counts const&, counts const&) = default;
    };

    counts totals() const;

private:
    using item = std::shared_ptr<generation>;
    using rank = std::pair<std::int64_t, std::uint64_t>; // -priority, arrival

    void run();
    bool step(std::unique_lock<std::mutex>& lock);
    void admit(instant now);
    void produce_due(instant now);
    double first_token_ms(generation_request const& request,
                          std::int64_t cached) const;
    double step_ms() const;
    template <class Matches>
    std::int64_t cancel_if(Matches const& matches);
    void report() const;

    engine_settings const settings;
    clock const time;
    scheduler_hooks const hooks;

    mutable std::mutex mutex;
    std::condition_variable wake;
    std::map<rank, item> queued;
    std::multimap<double, item> running; // by the time of the next token in ms
    std::uint64_t arrivals{0};
    counts sums;
    bool stopping{false};
    std::thread loop;
};

} // namespace caperpath::stand_in

#endif
