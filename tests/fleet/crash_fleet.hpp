#ifndef CAPERPATH_TESTS_FLEET_CRASH_FLEET_HPP
#define CAPERPATH_TESTS_FLEET_CRASH_FLEET_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace caperpath::fleet
{

/// What a simulated fleet is like.
struct crash_fleet_shape
{
    std::size_t routers{9};
    std::size_t servers{12};
    std::size_t batch{16};      ///< requests that a server runs at once
    double requests_per_s{200}; ///< other than fatal ones
    double fatal_per_s{5};      ///< of one request that crashes servers
    std::uint64_t popular{0};   ///< so many requests come again and again
    std::int64_t attempts{2};   ///< servers for each attempt of a caller
    double failures_per_s{0};   ///< servers that end by themselves
    duration until{40'000};
    std::uint64_t seed{1};
};

/// What came of it.
struct crash_fleet_result
{
    std::int64_t fatal_crashes{};
    /// Sends of the fatal request later than the grace after its third crash.
    std::int64_t late_fatal_sends{};
    std::int64_t requests{}; ///< innocent ones, without repeats
    std::int64_t refused{};  ///< of these, as if they crashed servers
    std::int64_t failed{};   ///< of these, with no answer in the end
    std::size_t held{};      ///< different ones held to be fatal at the end
};

/// Routers over the pure record, servers that end under one request, and
/// callers who come again once at another router. Simulated time; evidence
/// reaches the other routers after `told_after`. Test code; not thread safe.
class crash_fleet
{
public:
    explicit crash_fleet(crash_fleet_shape const& shape);

    /// All servers of a third of the fleet end at this moment.
    void lose_domain_at(instant at);

    /// The store takes no evidence until then.
    void lose_store_until(instant at);

    crash_fleet_result run();

private:
    struct attempt
    {
        std::uint64_t request{};
        std::size_t router{};
        std::int64_t sends{};
        bool repeated{false}; ///< the caller's second attempt
        std::set<std::size_t> tried;
        crash_evidence known;
    };
    struct server
    {
        instant up_from{};
        std::map<std::uint64_t, attempt> running; ///< by number of the run
    };

    void at(instant when, std::function<void()> what);
    void arrive();
    void arrive_fatal();
    void fail_by_itself();
    void begin(attempt one);
    void send(attempt one);
    void finish(std::size_t where, std::uint64_t run);
    void crash(std::size_t where);
    void was_at_crash(attempt one);
    void give_up(attempt const& one);
    void share(std::size_t from, std::uint64_t request);
    std::optional<std::size_t> choose(attempt const& one);
    duration drawn(double per_second);
    std::size_t drawn_below(std::size_t end);
    static fingerprint name_of(std::uint64_t request);

    crash_fleet_shape shape;
    std::mt19937_64 random;
    std::multimap<instant, std::function<void()>> events;
    std::vector<crash_record> routers;
    std::vector<server> servers;
    instant now{};
    instant store_from{};
    std::uint64_t runs{};
    std::uint64_t unique{};
    std::set<std::uint64_t> seen_requests;
    std::vector<std::set<std::uint64_t>> on_probation;
    std::optional<instant> third_crash;
    crash_fleet_result result;
};

} // namespace caperpath::fleet

#endif
