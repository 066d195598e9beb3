#include "stand_in/prefix_cache.hpp"

#include "stand_in/response_text.hpp"

#include <algorithm>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

constexpr std::size_t bytes_per_block = 4 * cache_block_tokens;
constexpr std::size_t max_events = 100'000;
constexpr std::uint64_t percent = 100;

// The sequence number determines which events are lost: runs are reproducible.
bool is_lost(std::int64_t sequence, std::int64_t gap_percent)
{
    constexpr std::uint64_t odd_factor = 0x9e3779b97f4a7c15;
    constexpr int high_bits = 33;
    auto const mixed = static_cast<std::uint64_t>(sequence) * odd_factor;
    return (mixed >> high_bits) % percent <
           static_cast<std::uint64_t>(gap_percent);
}

} // namespace

std::vector<std::uint64_t> prefix_blocks(std::string_view prompt)
{
    std::vector<std::uint64_t> blocks;
    std::string chained;
    for (std::size_t at = 0; at + bytes_per_block <= prompt.size();
         at += bytes_per_block)
    {
        chained.append(prompt.substr(at, bytes_per_block));
        blocks.push_back(response_seed(chained));
        chained = std::to_string(blocks.back());
    }
    return blocks;
}

prefix_cache::prefix_cache(std::int64_t capacity_tokens,
                           event_delivery delivery, clock time)
    : capacity_blocks{static_cast<std::size_t>(capacity_tokens /
                                               cache_block_tokens)},
      delivery{delivery}, time{std::move(time)}
{
}

std::int64_t prefix_cache::use(std::string_view prompt)
{
    std::lock_guard const lock{this->mutex};
    auto blocks = prefix_blocks(prompt);
    blocks.resize(std::min(blocks.size(), this->capacity_blocks));
    auto const hit = std::find_if(blocks.begin(), blocks.end(),
                                  [this](std::uint64_t block)
                                  { return !this->places.contains(block); }) -
                     blocks.begin();
    // Stores from last to first: a block is useful only with its predecessors,
    // so later blocks must be evicted first.
    for (auto block = blocks.rbegin(); block != blocks.rend(); ++block)
    {
        this->store(*block);
    }
    return hit * cache_block_tokens;
}

void prefix_cache::store(std::uint64_t block)
{
    auto const [place, fresh] =
        this->places.try_emplace(block, this->recent.end());
    if (!fresh)
    {
        this->recent.splice(this->recent.begin(), this->recent, place->second);
        return;
    }
    this->recent.push_front(block);
    place->second = this->recent.begin();
    this->note(true, block);
    if (this->recent.size() > this->capacity_blocks)
    {
        this->note(false, this->recent.back());
        this->places.erase(this->recent.back());
        this->recent.pop_back();
    }
}

void prefix_cache::note(bool stored, std::uint64_t block)
{
    auto const number = ++this->sequence;
    if (is_lost(number, this->delivery.gap_percent))
    {
        return;
    }
    this->events.push_back({number, stored, block, this->time.now()});
    if (this->events.size() > max_events)
    {
        this->events.pop_front();
    }
}

std::int64_t prefix_cache::tokens() const
{
    std::lock_guard const lock{this->mutex};
    return static_cast<std::int64_t>(this->recent.size()) * cache_block_tokens;
}

prefix_cache::published prefix_cache::events_after(std::int64_t sequence) const
{
    std::lock_guard const lock{this->mutex};
    auto const until = this->time.now() - this->delivery.lag;
    published delivered{{}, sequence};
    for (auto const& event : this->events)
    {
        if (event.at > until)
        {
            break;
        }
        if (event.sequence > sequence)
        {
            delivered.events.push_back(event);
            delivered.next = event.sequence;
        }
    }
    return delivered;
}

} // namespace caperpath::stand_in
