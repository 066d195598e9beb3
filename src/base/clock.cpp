#include <caperpath/base/clock.hpp>

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

clock clock::wall()
{
    return clock{read_clock<std::chrono::system_clock>};
}

} // namespace caperpath
