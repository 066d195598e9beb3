#ifndef CAPERPATH_STAND_IN_PREFIX_CACHE_HPP
#define CAPERPATH_STAND_IN_PREFIX_CACHE_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace caperpath::stand_in
{

/// Tokens in one block of the cache; only whole blocks of a prompt are cached.
constexpr std::int64_t cache_block_tokens = 16;

/// Returns, for each whole block of the prompt, the hash of the prompt up to
/// the block's end. Two prompts share a block if and only if they are equal up
/// to its end. Thread safe.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// A block was added to or evicted from the cache. Immutable value.
struct cache_event
{
    std::int64_t sequence{};
    bool stored{};
    std::uint64_t prefix{};
    instant at;

    friend bool operator==(cache_event const&, cache_event const&) = default;
};

/// How an engine publishes its cache events. Immutable value.
struct event_delivery
{
    duration lag{};             ///< delay of publication
    std::int64_t gap_percent{}; ///< share that is never published

    friend bool operator==(event_delivery const&,
                           event_delivery const&) = default;
};

/// A bounded LRU cache of prompt prefixes. Thread safe.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacity_tokens, event_delivery delivery,
                 clock time);

    /// Returns the number of cached tokens at the start of the prompt, then
    /// caches all its whole blocks that fit.
    std::int64_t use(std::string_view prompt);

    std::int64_t tokens() const;

    struct published
    {
        std::vector<cache_event> events;
        std::int64_t next{}; ///< sequence for the next call
    };

    /// Returns the events after `sequence` that are at least the lag old. Lost
    /// and discarded events leave gaps in the sequence numbers.
    published events_after(std::int64_t sequence) const;

private:
    void store(std::uint64_t block);
    void note(bool stored, std::uint64_t block);

    std::size_t const capacity_blocks;
    event_delivery const delivery;
    clock const time;
    mutable std::mutex mutex;
    std::list<std::uint64_t> recent; // most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        places;
    std::deque<cache_event> events;
    std::int64_t sequence{0};
};

} // namespace caperpath::stand_in

#endif
