#ifndef CAPERPATH_SRC_FILTERS_CHAIN_HPP
#define CAPERPATH_SRC_FILTERS_CHAIN_HPP

#include "filters/context.hpp"

#include <cstddef>
#include <optional>
#include <vector>

namespace caperpath::filters
{

/// One step of a request. `enter` lets it pass or refuses it; `leave` runs once
/// for each request that passed `enter`, in reverse order, when the request has
/// ended and before its last byte goes to the caller.
struct filter
{
    char const* name;
    std::optional<request::refusal> (*enter)(context& request);
    void (*leave)(context& request);
};

/// The way of one request through a list of filters. Not thread safe; makes
/// sure that every filter that was entered is left exactly once, also when the
/// caller's connection breaks and nobody asks for the end.
class chain
{
public:
    /// @pre `filters` and `request` outlive the chain.
    chain(std::vector<filter> const& filters, context& request);
    ~chain();

    chain(chain const&) = delete;
    chain& operator=(chain const&) = delete;

    /// Enters filter after filter until one refuses; the refusal is kept in the
    /// context. True when all let it pass.
    bool enter();

    /// Leaves all filters that were entered. Idempotent.
    void leave();

private:
    std::vector<filter> const& filters;
    context& request;
    std::size_t entered{0};
};

/// account, authenticate, understand, identify, limit, reserve, keep, dispatch:
/// for models and for plain services. Thread safe.
std::vector<filter> const& request_filters();

} // namespace caperpath::filters

#endif
