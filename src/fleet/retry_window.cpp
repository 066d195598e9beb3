#include <caperpath/fleet/retry_window.hpp>

#include <algorithm>
#include <cmath>

namespace caperpath::fleet
{

namespace
{

/// Part of the limit that routers use. The margin covers time differences: the
/// fleet counts a request when it is sent and a retry when it arrives; a router
/// counts a request when it is read.
constexpr double usable_part = 0.85;
/// A request counts towards the retries of its window and of the next one.
constexpr double windows_per_request = 2;

void drop_before(std::deque<instant>& all, instant oldest)
{
    while (!all.empty() && all.front() < oldest)
    {
        all.pop_front();
    }
}

} // namespace

retry_window::retry_window(retry_limit limit) : limit{limit}
{
}

retry_window::counts& retry_window::current(service_id const& service,
                                            instant now)
{
    auto& service_counts = this->services[service];
    auto const window = this->limit.window;
    drop_before(service_counts.requests, now - window - window);
    drop_before(service_counts.retries, now - window);
    return service_counts;
}

void retry_window::note_request(service_id const& service, instant now)
{
    this->current(service, now).requests.push_back(now);
}

/// The limit must hold in every window. It is enough to check those that begin
/// at a retry: a window that begins earlier, after the previous retry, has the
/// same retries and at least as many requests. The window that begins now is
/// checked too.
std::int64_t retry_window::left(service_id const& service, std::int64_t sharers,
                                instant now)
{
    auto const& service_counts = this->current(service, now);
    auto const own_allowance =
        sharers > 0 ? this->limit.allowance / static_cast<double>(sharers)
                    : 0.0;
    auto const remaining_in_window =
        [&](instant window_begin, std::int64_t retries_in_window)
    {
        auto const first_request = std::lower_bound(
            service_counts.requests.begin(), service_counts.requests.end(),
            window_begin - this->limit.window);
        auto const requests =
            static_cast<double>(service_counts.requests.end() - first_request);
        auto const allowed =
            usable_part * (this->limit.ratio / windows_per_request * requests +
                           own_allowance);
        return static_cast<std::int64_t>(std::floor(allowed)) -
               retries_in_window;
    };
    auto remaining = remaining_in_window(now, 0);
    auto retries_in_window = std::ssize(service_counts.retries);
    for (auto const first : service_counts.retries)
    {
        remaining =
            std::min(remaining, remaining_in_window(first, retries_in_window));
        retries_in_window -= 1;
    }
    return std::max<std::int64_t>(0, remaining);
}

bool retry_window::take(service_id const& service, std::int64_t sharers,
                        instant now)
{
    if (!this->allows(service, sharers, now))
    {
        return false;
    }
    this->current(service, now).retries.push_back(now);
    return true;
}

bool retry_window::allows(service_id const& service, std::int64_t sharers,
                          instant now)
{
    if (this->left(service, sharers, now) > 0)
    {
        return true;
    }
    this->current(service, now).rejected += 1;
    return false;
}

std::vector<retry_use> retry_window::report(instant now)
{
    std::vector<retry_use> all;
    for (auto const& [service, unused] : this->services)
    {
        auto& service_counts = this->current(service, now);
        if (service_counts.retries.empty() && service_counts.rejected == 0)
        {
            continue;
        }
        all.push_back({service, std::ssize(service_counts.requests),
                       std::ssize(service_counts.retries),
                       service_counts.rejected});
        service_counts.rejected = 0;
    }
    return all;
}

} // namespace caperpath::fleet
