#ifndef CAPERPATH_TESTS_FLEET_RETRY_FLEET_HPP
#define CAPERPATH_TESTS_FLEET_RETRY_FLEET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/membership.hpp>
#include <caperpath/fleet/retry_allowance.hpp>
#include <caperpath/fleet/retry_window.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace caperpath::fleet
{

/// What happens to a heartbeat write.
enum class heartbeat_outcome
{
    acknowledged,
    response_lost, ///< applied, but the router gets no response
    applied_late   ///< the same, and applied only seconds later
};

/// Simulates many routers that use the pure core, one store of heartbeat rows
/// and one service. Each router is a process: its state is lost when it is
/// killed. Test code; not thread safe.
class retry_fleet
{
public:
    explicit retry_fleet(retry_limit limit);

    /// Starts a router and returns its number.
    std::size_t start();
    void start(std::size_t count);

    /// Starts routers and waits until each has read the rows of all and may use
    /// its part of the retry allowance.
    void start_settled(std::size_t count);

    void kill(std::size_t router);
    void kill_all();

    /// A planned stop: the router deletes its row and sends no more retries.
    void stop(std::size_t router);

    /// Suspends the machine and its monotonic clock for `span`.
    void suspend(std::size_t router, duration span);

    /// Sets whether the store responds to all calls, or to the reads or the
    /// writes of one router.
    void set_store(bool up);
    void set_reads(std::size_t router, bool open);
    void set_writes(std::size_t router, bool open);

    /// How long calls to the store take, and what happens to heartbeats.
    duration call_time{10};
    std::function<heartbeat_outcome()> next_outcome = []
    {
        return heartbeat_outcome::acknowledged;
    };

    /// Callers send `count` requests for the service to each running router.
    void request(std::int64_t count);
    void request(std::size_t router, std::int64_t count);

    /// Each running router sends as many retries as its limit allows.
    void retry_all();

    void advance(duration span);

    /// Advances by steps while the servers reject everything: in each step
    /// callers send `count` requests to each router, and the routers send all
    /// retries allowed.
    void run_while_rejecting(duration span, std::int64_t count);

    std::vector<std::size_t> running() const;
    std::int64_t retries() const;
    instant now() const;

    /// The largest excess of the retries of all routers, dead ones included,
    /// over the limit in any window; 0 or less if within the limit.
    double max_excess() const;

private:
    struct process
    {
        incarnation_id id;
        bool alive{true};
        bool stopping{false};
        bool can_read{true};
        bool can_write{true};
        instant awake_at{};       ///< suspended until then
        duration suspended{};     ///< in total
        instant next_heartbeat{}; ///< by its monotonic clock
        instant next_read{};
        membership known;
        retry_allowance_lease lease;
        retry_window window;
    };
    struct call
    {
        instant at;
        std::function<void()> run;
    };

    bool is_running(process const& one) const;
    instant monotonic(process const& one) const;
    std::int64_t sharers(process const& one) const;
    void run_due_tasks(process& one);
    void send_heartbeat(process& one);
    void read_rows(process& one);
    void schedule(instant when, std::function<void()> run);
    void step();
    double excess_from(std::int64_t first) const;

    retry_limit limit;
    instant time{1'000'000};
    bool store_up{true};
    std::uint64_t version{0};
    std::map<incarnation_id, heartbeat> rows;
    std::deque<process> routers;
    std::vector<call> calls;
    std::vector<std::int64_t> requested; ///< ms, in order
    std::vector<std::int64_t> retried;   ///< ms, in order
};

} // namespace caperpath::fleet

#endif
