#include "ctl/http_client.hpp"

#include "http/message_framing.hpp"
#include "http/server.hpp"

namespace caperpath::ctl
{

namespace
{

constexpr std::chrono::seconds connect_timeout{1};
constexpr std::chrono::seconds response_timeout{5};

} // namespace

result<http_response> call_http(std::string const& address,
                                std::string const& path,
                                std::string const& body)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(response_timeout);
    client.set_write_timeout(response_timeout);
    auto const response = body.empty()
                              ? client.Get(path)
                              : client.Post(path, body, "application/json");
    if (response)
    {
        if (auto const why = http::find_response_fault(*response))
        {
            return fail({error_kind::timeout, path, address,
                         "malformed response: " + std::string{*why}});
        }
        return http_response{response->status, response->body};
    }
    auto const unsent = response.error() == httplib::Error::Connection ||
                        response.error() == httplib::Error::ConnectionTimeout;
    return fail({unsent ? error_kind::unavailable : error_kind::timeout, path,
                 address, httplib::to_string(response.error())});
}

} // namespace caperpath::ctl
