#ifndef CAPERPATH_BASE_ID_HPP
#define CAPERPATH_BASE_ID_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace caperpath
{

/// A name that cannot be confused with one of another kind. Immutable value.
template <class Tag>
struct basic_id
{
    std::string value;

    friend auto operator<=>(basic_id const&, basic_id const&) = default;
};

using customer_id = basic_id<struct customer_tag>;
using budget_id = basic_id<struct budget_tag>;
using model_id = basic_id<struct model_tag>;
using service_id = basic_id<struct service_tag>;
using backend_server_id = basic_id<struct backend_server_tag>;
using failure_domain_id = basic_id<struct failure_domain_tag>;
/// A geographic region of failure domains.
using region_id = basic_id<struct region_tag>;
using request_id = basic_id<struct request_tag>;
/// The place where a router runs; its incarnations follow one another there.
using vm_id = basic_id<struct vm_tag>;

/// One incarnation of a VM. A replacement at the same address gets a new value,
/// so that data written for the old one is never applied to the new one.
using incarnation_id = basic_id<struct incarnation_tag>;

/// Prepaid tokens; always a whole number, never negative in a valid state.
using token_count = std::int64_t;

} // namespace caperpath

template <class Tag>
struct std::hash<caperpath::basic_id<Tag>>
{
    std::size_t operator()(caperpath::basic_id<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};

#endif
