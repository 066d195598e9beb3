#ifndef CAPERPATH_ROUTING_BACKEND_PORT_HPP
#define CAPERPATH_ROUTING_BACKEND_PORT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/request/retry.hpp>

#include <functional>
#include <string>
#include <vector>

namespace caperpath::routing
{

/// Selects the server for one attempt of a request.
struct choose_request
{
    config::backend_kind kind{};
    std::string serves; ///< model or service
    std::string policy; ///< policy name in the request's configuration
    std::vector<backend_server_id> excluded; ///< already tried
    int attempt{1}; ///< from 2 on, charged to the retry budget

    friend bool operator==(choose_request const&,
                           choose_request const&) = default;
};

enum class choice
{
    chosen,
    none_usable,  ///< every server is draining, ejected or in `excluded`
    no_retry_left ///< the retry budget is exhausted
};

struct choose_reply
{
    choice verdict{choice::none_usable};
    backend_server_id id;
    std::string address;
    request::gap_tracker gaps; ///< gaps between its tokens so far

    friend bool operator==(choose_reply const&, choose_reply const&) = default;
};

/// Result of one attempt; updates the view of its server.
enum class attempt_result
{
    ok,
    overloaded, ///< reported by the server; not a failure
    draining,   ///< the server reported that it takes no new work
    failed,     ///< error, lost connection or malformed response
    abandoned   ///< the caller disconnected
};

struct attempt_report
{
    backend_server_id id;
    attempt_result result{attempt_result::ok};
    request::gap_tracker gaps;

    friend bool operator==(attempt_report const&,
                           attempt_report const&) = default;
};

/// Interface of the request filters to the backend servers. Thread safe.
/// @pre `report` is called exactly once for each reply with `chosen`
struct backend_port
{
    std::function<choose_reply(choose_request const&)> choose;
    std::function<void(attempt_report const&)> report;
};

} // namespace caperpath::routing

#endif
