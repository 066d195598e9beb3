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

/// The hash of the prompt up to the end of each of its whole blocks, so that
/// two prompts share a block exactly when they are the same up to its end.
/// Thread safe.
std::vector<std::uint64_t> prefix_blocks(std::string_view prompt);

/// A block came into the cache or went. Immutable value.
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
    duration lag{};             ///< how late
    std::int64_t gap_percent{}; ///< share that is never told

    friend bool operator==(event_delivery const&,
                           event_delivery const&) = default;
};

/// A bounded cache of prompt prefixes that forgets the longest unused block.
/// Thread safe.
class prefix_cache
{
public:
    prefix_cache(std::int64_t capacity_tokens, event_delivery delivery,
                 clock time);

    /// Tokens at the start of the prompt that are cached; afterwards all its
    /// whole blocks that fit are.
    std::int64_t use(std::string_view prompt);

    std::int64_t tokens() const;

    struct published
    {
        std::vector<cache_event> events;
        std::int64_t next{}; ///< sequence to ask after next time
    };

    /// Events after a sequence, as far as they are old enough to be told. Gaps
    /// show as missing sequence numbers; so do events too old to be kept.
    published events_after(std::int64_t sequence) const;

private:
    void store(std::uint64_t block);
    void note(bool stored, std::uint64_t block);

    std::size_t const capacity_blocks;
    event_delivery const delivery;
    clock const time;
    mutable std::mutex mutex;
    std::list<std::uint64_t> recent; // the most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        places;
    std::deque<cache_event> events;
    std::int64_t sequence{0};
};

} // namespace caperpath::stand_in

#endif
