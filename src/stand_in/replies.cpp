#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <charconv>
#include <filesystem>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>

namespace caperpath::stand_in
{

namespace
{

constexpr char const* retry_after_seconds = "1";

using name_of_socket = int (*)(int, sockaddr*, socklen_t*);

// Port of one end of a socket, or -1 when the descriptor is no IPv4 socket.
int port_of(int descriptor, name_of_socket name)
{
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    auto* const place = reinterpret_cast<sockaddr*>(&address);
    if (name(descriptor, place, &size) != 0 || address.sin_family != AF_INET)
    {
        return -1;
    }
    return ntohs(address.sin_port);
}

int number_of(std::string const& file_name)
{
    int number = -1;
    std::from_chars(file_name.data(), file_name.data() + file_name.size(),
                    number);
    return number;
}

} // namespace

void reply_json(httplib::Response& response, int status,
                nlohmann::json const& body)
{
    response.status = status;
    // A request may hold bytes that are no UTF-8, and an answer that echoes
    // them must not end in an exception after the work was done.
    constexpr auto replace = nlohmann::json::error_handler_t::replace;
    response.set_content(body.dump(-1, ' ', false, replace),
                         "application/json");
}

void reply_error(httplib::Response& response, int status, std::string_view type,
                 std::string_view message)
{
    reply_json(
        response, status,
        {{"error", {{"type", type}, {"message", message}, {"code", nullptr}}}});
}

void reply_faults(httplib::Response& response,
                  std::vector<config::fault> const& faults)
{
    std::string message;
    for (auto const& fault : faults)
    {
        message += message.empty() ? "" : "; ";
        message += fault.path + ": " + fault.detail;
    }
    reply_error(response, 400, "invalid_request_error", message);
}

void reply_not_run(httplib::Response& response, std::string_view message)
{
    reply_error(response, 503, "overloaded_error", message);
    response.set_header("Caperpath-Not-Run", "true");
    response.set_header("Retry-After", retry_after_seconds);
}

nlohmann::json parse_body(httplib::Request const& request)
{
    auto body = nlohmann::json::parse(request.body, nullptr, false);
    return body.is_discarded() ? nlohmann::json{} : body;
}

void drop_connection(httplib::Request const& request, int server_port)
{
    // cpp-httplib keeps the socket to itself; a fault that must leave the
    // caller without any byte finds it by the ports of both its ends.
    std::error_code none;
    for (auto const& file :
         std::filesystem::directory_iterator{"/proc/self/fd", none})
    {
        auto const descriptor = number_of(file.path().filename().string());
        if (port_of(descriptor, &::getpeername) == request.remote_port &&
            port_of(descriptor, &::getsockname) == server_port)
        {
            ::shutdown(descriptor, SHUT_RDWR);
            return;
        }
    }
}

} // namespace caperpath::stand_in
