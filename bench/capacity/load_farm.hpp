#ifndef CAPERPATH_BENCH_CAPACITY_LOAD_FARM_HPP
#define CAPERPATH_BENCH_CAPACITY_LOAD_FARM_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace caperpath::bench
{

/// Traffic so far, in HTTP bytes without TCP and IP headers.
struct farm_counts
{
    std::int64_t polls{};
    std::int64_t received{};
    std::int64_t sent{};
};

/// Thousands of addresses on 127.0.0.1 that respond to `GET /load` as a model
/// engine does, all served by one thread, because one process per address would
/// exceed the memory limit of the measurement. Not thread safe.
class load_farm
{
public:
    /// Binds `count` free ports. Throws if one cannot be bound.
    explicit load_farm(std::size_t count);
    ~load_farm();

    load_farm(load_farm const&) = delete;
    load_farm& operator=(load_farm const&) = delete;

    std::vector<std::string> const& addresses() const;
    farm_counts counts() const;

private:
    struct parts;
    std::unique_ptr<parts> inside;
};

} // namespace caperpath::bench

#endif
