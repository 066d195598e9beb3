#ifndef CAPERPATH_TESTS_GATEWAY_LATE_LOOP_HPP
#define CAPERPATH_TESTS_GATEWAY_LATE_LOOP_HPP

#include "gateway/fake_server.hpp"
#include "gateway/waker.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <chrono>
#include <string>
#include <thread>

/// Requests, and an event loop that is late.
namespace caperpath::gateway
{

inline std::string timed_request(std::string const& id,
                                 std::chrono::milliseconds timeout,
                                 std::string const& body = "")
{
    return "POST /read/1 HTTP/1.1\r\nHost: site.example\r\n"
           "Request-Id: " +
           id + "\r\nDeadline-Ms: " + std::to_string(timeout.count()) +
           "\r\nAuthorization: Bearer key\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline script respond_done(fake_server::request const& got)
{
    return {{complete_response(got, 200, "done")}};
}

/// Makes each turn of a loop take `span`, until `end`.
inline void slow_turns(asio::io_context& loop, std::chrono::milliseconds span,
                       time_point end)
{
    if (std::chrono::steady_clock::now() < end)
    {
        std::this_thread::sleep_for(span);
        asio::post(loop, [&loop, span, end] { slow_turns(loop, span, end); });
    }
}

} // namespace caperpath::gateway

#endif
