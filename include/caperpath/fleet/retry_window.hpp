#ifndef CAPERPATH_FLEET_RETRY_WINDOW_HPP
#define CAPERPATH_FLEET_RETRY_WINDOW_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <vector>

/// Limits the retries of all routers together, without messages between them.
namespace caperpath::fleet
{

/// The fleet's limit: in any `window` a service gets at most `ratio` x its
/// requests + `allowance` retries. The requests are those of that window or of
/// the one before it, whichever are more.
struct retry_limit
{
    double ratio{0.2};
    double allowance{0};
    duration window{10'000};

    friend bool operator==(retry_limit const&, retry_limit const&) = default;
};

/// How much of its part of the limit one router used for a service.
struct retry_use
{
    service_id service;
    std::int64_t requests{}; ///< in the window and the one before it
    std::int64_t retries{};  ///< in the window
    std::int64_t rejected{}; ///< rejected retries since the last report

    friend bool operator==(retry_use const&, retry_use const&) = default;
};

/// Counts the requests and the retries of one router. When a server fails, all
/// of its requests are retried; without a limit the retries alone would keep
/// the other servers overloaded.
///
/// In any window a router sends at most half the ratio x its own requests of
/// that window and the one before it, plus its part of the retry allowance, as
/// retries. Requests and parts of all routers add up, so the sum stays within
/// the limit when routers start or die. Instants are of a clock that includes
/// time in suspend. Not thread safe.
class retry_window
{
public:
    explicit retry_window(retry_limit limit);

    /// Counts a request for `service`.
    void note_request(service_id const& service, instant now);

    /// Counts one retry if it is allowed; returns whether it is. `sharers` is
    /// the number of routers that divide the retry allowance; 0 if this router
    /// may use none of it.
    bool take(service_id const& service, std::int64_t sharers, instant now);

    /// True if a retry is allowed now; otherwise counts a rejected retry.
    bool allows(service_id const& service, std::int64_t sharers, instant now);

    /// The number of retries allowed now, at least 0.
    std::int64_t left(service_id const& service, std::int64_t sharers,
                      instant now);

    /// The services with a retry in the window or a rejected one since the last
    /// report; resets the counts of rejected retries.
    std::vector<retry_use> report(instant now);

private:
    struct counts
    {
        std::deque<instant> requests; ///< of the last two windows
        std::deque<instant> retries;  ///< retries of the last window
        std::int64_t rejected{};
    };

    counts& current(service_id const& service, instant now);

    retry_limit limit;
    std::map<service_id, counts> services;
};

} // namespace caperpath::fleet

#endif
