#include "ctl/http_client.hpp"

#include "http/server.hpp"

namespace caperpath::ctl
{

namespace
{

constexpr std::chrono::seconds connect_timeout{1};
constexpr std::chrono::seconds answer_timeout{5};

} // namespace

result<http_answer> call_http(std::string const& address,
                              std::string const& path, std::string const& body)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    client.set_connection_timeout(connect_timeout);
    client.set_read_timeout(answer_timeout);
    client.set_write_timeout(answer_timeout);
    auto const answer = body.empty()
                            ? client.Get(path)
                            : client.Post(path, body, "application/json");
    if (answer)
    {
        return http_answer{answer->status, answer->body};
    }
    auto const unsent = answer.error() == httplib::Error::Connection ||
                        answer.error() == httplib::Error::ConnectionTimeout;
    return fail({unsent ? error_kind::unavailable : error_kind::timeout, path,
                 address, httplib::to_string(answer.error())});
}

} // namespace caperpath::ctl
