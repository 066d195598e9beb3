#ifndef CAPERPATH_SRC_FILTERS_CHAIN_HPP
#define CAPERPATH_SRC_FILTERS_CHAIN_HPP

#include "filters/context.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace caperpath::filters
{

/// One pipeline stage of a request. `enter` passes or rejects it. `leave` runs
/// once for each request that passed `enter`, in reverse order of the filters,
/// after the request has ended and before its last byte is sent to the caller.
struct filter
{
    char const* name;
    std::optional<request::rejection> (*enter)(context& request);
    void (*leave)(context& request);
};

/// Runs one request through a list of filters. Leaves every entered filter
/// exactly once, also if the caller's connection breaks and `leave` is never
/// called. Not thread safe.
class chain
{
public:
    /// @pre `filters` and `request` outlive the chain.
    chain(std::vector<filter> const& filters, context& request);
    ~chain();

    chain(chain const&) = delete;
    chain& operator=(chain const&) = delete;

    /// Enters the filters in order until one rejects the request, and stores
    /// the rejection in the context. Returns true if all filters passed it.
    bool enter();

    /// Leaves all entered filters. Idempotent.
    void leave();

private:
    std::vector<filter> const& filters;
    context& request;
    std::size_t entered{0};
};

/// The filters of chat and plain service requests, in order: account, drain,
/// authenticate, understand, identify, limit, reserve, keep, dispatch. Thread
/// safe.
std::vector<filter> const& request_filters();

} // namespace caperpath::filters

#endif
