#include "store/token_bucket.hpp"

#include <algorithm>

namespace caperpath::store
{

namespace
{

// A rate in calls per second equals thousandths of a call per millisecond.
constexpr std::int64_t one_call = 1'000;
constexpr std::int64_t burst_ms = 250;

} // namespace

token_bucket::token_bucket(std::int64_t rate, instant now)
    : rate{rate}, capacity{std::max(one_call, rate * burst_ms)},
      level{this->capacity}, filled{now}
{
}

bool token_bucket::take(instant now)
{
    auto const passed = std::max<std::int64_t>(0, (now - this->filled).ms);
    // One second fills the bucket at any rate; the limit bounds the product
    // below.
    auto const counted = std::min<std::int64_t>(passed, one_call);
    this->level = std::min(this->capacity, this->level + counted * this->rate);
    this->filled = now;
    if (this->level < one_call)
    {
        return false;
    }
    this->level -= one_call;
    return true;
}

} // namespace caperpath::store
