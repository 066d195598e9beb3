#ifndef CAPERPATH_FLEET_SITE_HPP
#define CAPERPATH_FLEET_SITE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/warm_up.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// One version of the operators' configuration: routes, services, customers and
/// limits, as immutable values independent of the wire format.
namespace caperpath::fleet
{

/// How often a request may run.
enum class request_kind
{
    idempotent,     ///< may run more than once
    non_idempotent, ///< may run at most once for each attempt of the caller
    streaming       ///< an event stream; non-idempotent unless resumable
};

/// A service with its weight among those of a route.
struct weighted_service
{
    service_id service;
    std::int64_t weight{1};

    friend bool operator==(weighted_service const&,
                           weighted_service const&) = default;
};

/// Maps requests to services, with their limits and latency goals.
struct route
{
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with "/"
    request_kind kind{request_kind::non_idempotent};
    std::vector<weighted_service> services;
    duration timeout{};          ///< the longest time that a request is kept
    duration answer_goal{};      ///< to the begin of the response or its
                                 ///< first event
    duration gap_goal{};         ///< between two events of a stream
    std::int64_t max_servers{1}; ///< how many servers may run one attempt
    std::int64_t priority{};     ///< 0 is the most urgent
    bool needs_key{true};
    bool has_prompt{false}; ///< requests carry a prompt, counted in tokens
    bool resumable{false};  ///< a broken stream may resume at another server
    /// Requests may be processed only in these regions; empty: in any.
    std::vector<region_id> regions;

    friend bool operator==(route const&, route const&) = default;
};

/// A kind of backend server. A plain service (no language model) has 0 for
/// `batch_slots`, `memory_tokens` and `tokens_per_event`.
struct service
{
    service_id id;
    std::string health_path;
    std::int64_t max_connections{};
    std::int64_t batch_slots{};     ///< concurrent requests of one engine
    token_count memory_tokens{};    ///< of one engine
    token_count tokens_per_event{}; ///< the most tokens in one event
    warm_up_limit warm_up;          ///< of servers that have just started

    friend bool operator==(service const&, service const&) = default;
};

/// A paying customer, with the tokens paid for so far.
struct customer
{
    customer_id id;
    std::optional<std::int64_t> priority; ///< overrides the route's priority
    std::optional<token_count> paid;      ///< empty: no limit on tokens
    std::vector<std::string> keys;
    /// Its requests may be processed only in these regions; empty: in any.
    std::vector<region_id> regions;

    friend bool operator==(customer const&, customer const&) = default;
};

/// Size and time limits of a caller's requests.
struct caller_limits
{
    std::size_t header_bytes{16'384};
    std::size_t body_bytes{4'194'304};
    duration header_timeout{3'000};
    /// For the next request of a connection, and for a whole body.
    duration idle_timeout{15'000};

    friend bool operator==(caller_limits const&,
                           caller_limits const&) = default;
};

/// The contents of a configuration before it is indexed.
struct site_parts
{
    std::uint64_t version{};
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<customer> customers;
    caller_limits limits;

    friend bool operator==(site_parts const&, site_parts const&) = default;
};

/// One version of the configuration, indexed for look-ups. Immutable; its
/// functions are thread safe and cost a hash look-up and a short scan.
class site
{
public:
    explicit site(site_parts parts);

    std::uint64_t version() const;
    caller_limits const& limits() const;
    std::vector<route> const& routes() const;
    std::vector<customer> const& customers() const;

    /// The limits of all services on their cold servers.
    std::map<service_id, warm_up_limit> warm_ups() const;

    /// The route of `host` (with or without a port, in any case) with the
    /// longest prefix of `path`; null if there is none.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// The customer with `key`; null if there is none.
    customer const* find_customer(std::string_view key) const;

    /// Null if no service has this name.
    service const* find_service(service_id const& id) const;

    friend bool operator==(site const& a, site const& b)
    {
        return a.parts == b.parts;
    }

private:
    site_parts parts;
    std::unordered_map<std::string, std::vector<std::size_t>> routes_of_host;
    std::unordered_map<std::string, std::size_t> customer_of_key;
};

/// Selects the service for one request by weight. `draw` is a uniformly
/// distributed number; the same number gives the same service. Thread safe.
/// @pre `from.services` is not empty.
service_id const& choose_service(route const& from, std::uint64_t draw);

} // namespace caperpath::fleet

#endif
