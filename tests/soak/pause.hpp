#ifndef CAPERPATH_TESTS_SOAK_PAUSE_HPP
#define CAPERPATH_TESTS_SOAK_PAUSE_HPP

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstdint>
#include <random>

namespace caperpath::soak
{

boost::asio::awaitable<void> pause(boost::asio::any_io_executor const& executor,
                                   std::chrono::milliseconds time);

/// Random numbers that depend only on the seed, not on the standard library.
class dice
{
public:
    explicit dice(std::uint64_t seed) : engine{seed}
    {
    }

    /// From `least` to `most`, both included.
    int between(int least, int most)
    {
        auto const count = static_cast<std::uint64_t>(most - least + 1);
        return least + static_cast<int>(this->engine() % count);
    }

    std::chrono::milliseconds ms(int least, int most)
    {
        return std::chrono::milliseconds{this->between(least, most)};
    }

    /// Returns true with a probability of `percent`.
    bool chance(int percent)
    {
        return this->between(1, 100) <= percent;
    }

private:
    std::mt19937_64 engine;
};

} // namespace caperpath::soak

#endif
