#ifndef CAPERPATH_ROUTING_LIMIT_PORT_HPP
#define CAPERPATH_ROUTING_LIMIT_PORT_HPP

#include <caperpath/routing/limits.hpp>

#include <functional>

namespace caperpath::routing
{

/// Request to admit one request of `customer`.
struct admit_request
{
    customer_id customer;
    limits bounds;
    token_count tokens{}; ///< worst-case cost

    friend bool operator==(admit_request const&,
                           admit_request const&) = default;
};

struct admit_reply
{
    limit_verdict verdict{limit_verdict::admitted};
    duration retry_after{};

    friend bool operator==(admit_reply const&, admit_reply const&) = default;
};

/// Ends one admitted request; returns its `unused` tokens.
struct release_request
{
    customer_id customer;
    limits bounds;
    token_count unused{};

    friend bool operator==(release_request const&,
                           release_request const&) = default;
};

/// Interface of the request filters to the limits. Thread safe.
struct limit_port
{
    std::function<admit_reply(admit_request const&)> admit;
    std::function<void(release_request const&)> release;
};

} // namespace caperpath::routing

#endif
