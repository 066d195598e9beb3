#include <caperpath/base/clock.hpp>

#include <time.h>

#include <chrono>
#include <utility>

namespace caperpath
{

namespace
{

template <class Clock>
instant read_clock()
{
    auto const since_origin = Clock::now().time_since_epoch();
    return {std::chrono::duration_cast<std::chrono::milliseconds>(since_origin)
                .count()};
}

instant read_boot_clock()
{
    constexpr std::int64_t ms_per_second = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return {time.tv_sec * ms_per_second + time.tv_nsec / ns_per_ms};
}

} // namespace

clock::clock(std::function<instant()> source) : source{std::move(source)}
{
}

instant clock::now() const
{
    return this->source();
}

clock clock::monotonic()
{
    return clock{read_clock<std::chrono::steady_clock>};
}

clock clock::boot()
{
    return clock{read_boot_clock};
}

clock clock::wall()
{
    return clock{read_clock<std::chrono::system_clock>};
}

} // namespace caperpath
