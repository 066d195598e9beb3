#ifndef CAPERPATH_SRC_STORE_TOKEN_BUCKET_HPP
#define CAPERPATH_SRC_STORE_TOKEN_BUCKET_HPP

#include <caperpath/base/clock.hpp>

#include <cstdint>

namespace caperpath::store
{

/// Admits `rate` calls per second and a burst of a quarter of that. Not thread
/// safe.
class token_bucket
{
public:
    /// @pre `rate` is at least 1. Starts full.
    token_bucket(std::int64_t rate, instant now);

    /// Takes one call from the bucket; returns false if there is none left.
    bool take(instant now);

private:
    std::int64_t rate;
    std::int64_t capacity; ///< in thousandths of a call
    std::int64_t level;    ///< in thousandths of a call
    instant filled;
};

} // namespace caperpath::store

#endif
