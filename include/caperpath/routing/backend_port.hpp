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

/// Asks where to send one attempt of a request.
struct choose_request
{
    config::backend_kind kind{};
    std::string serves; ///< model or service
    std::string policy; ///< name, from the request's configuration
    std::vector<backend_server_id> avoid; ///< tried already
    int attempt{1}; ///< from 2 on it takes from the retry budget

    friend bool operator==(choose_request const&,
                           choose_request const&) = default;
};

enum class choice
{
    chosen,
    none_usable,  ///< every server is leaving, set aside or avoided
    no_retry_left ///< the retry budget is used up
};

struct choose_reply
{
    choice verdict{choice::none_usable};
    backend_server_id id;
    std::string address;
    request::gap_tracker gaps; ///< what is known of its token times

    friend bool operator==(choose_reply const&, choose_reply const&) = default;
};

/// How one attempt ended, for the view of that server.
enum class attempt_result
{
    ok,
    overloaded, ///< it said so; not its fault
    leaving,    ///< it said that it takes no new work
    failed,     ///< error, broken connection, or nonsense
    abandoned   ///< the caller left
};

struct attempt_report
{
    backend_server_id id;
    attempt_result result{attempt_result::ok};
    request::gap_tracker gaps;

    friend bool operator==(attempt_report const&,
                           attempt_report const&) = default;
};

/// What the request filters know of backend servers. Thread safe. Each choice
/// that was `chosen` is reported once.
struct backend_port
{
    std::function<choose_reply(choose_request const&)> choose;
    std::function<void(attempt_report const&)> report;
};

} // namespace caperpath::routing

#endif
