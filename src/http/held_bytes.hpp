#ifndef CAPERPATH_SRC_HTTP_HELD_BYTES_HPP
#define CAPERPATH_SRC_HTTP_HELD_BYTES_HPP

#include <atomic>
#include <cstddef>

namespace caperpath::http
{

/// What the responses of all open requests hold in memory. Thread safe.
using held_total = std::atomic<std::size_t>;

/// The part of one response. Not thread safe.
class held_bytes
{
public:
    /// @pre `total` outlives this object.
    explicit held_bytes(held_total& total) : total{total}
    {
    }

    ~held_bytes()
    {
        this->total -= this->own;
    }

    held_bytes(held_bytes const&) = delete;
    held_bytes& operator=(held_bytes const&) = delete;

    void add(std::size_t bytes)
    {
        this->own += bytes;
        this->total += bytes;
    }

    /// @pre `bytes` of this response are held.
    void remove(std::size_t bytes)
    {
        this->own -= bytes;
        this->total -= bytes;
    }

    std::size_t size() const
    {
        return this->own;
    }

    /// True if this response holds `share` bytes or more while all hold more
    /// than the maximum.
    bool exceeds(std::size_t share) const
    {
        constexpr std::size_t max_total = 64 * 1024 * 1024;
        return this->own >= share && this->total.load() > max_total;
    }

private:
    held_total& total;
    std::size_t own{0};
};

} // namespace caperpath::http

#endif
