#include "http/exchange.hpp"

#include "http/message_framing.hpp"
#include "http/server.hpp"

#include <httplib.h>

#include <algorithm>
#include <cctype>

namespace caperpath::http
{

namespace
{

// Bounds the memory for a slow caller: reading from the engine pauses while
// this many bytes are queued.
constexpr std::size_t max_queued_bytes = 1024 * 1024;
// The thread in `wait` detects a silent peer; this only ends abandoned reads.
constexpr int read_timeout_seconds = 600;
constexpr std::size_t max_idle_per_address = 512;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char c)
                   { return static_cast<char>(std::tolower(c)); });
    return text;
}

headers copy_headers(httplib::Headers const& given)
{
    headers copied;
    for (auto const& [name, value] : given)
    {
        copied[lower(name)] = value;
    }
    return copied;
}

httplib::Request to_httplib(exchange_request const& request)
{
    httplib::Request converted;
    converted.method = request.method;
    converted.path = request.path;
    converted.body = request.body;
    for (auto const& [name, value] : request.headers)
    {
        converted.set_header(name, value);
    }
    if (!request.content_type.empty())
    {
        converted.set_header("Content-Type", request.content_type);
    }
    return converted;
}

bool provably_unsent(httplib::Error error)
{
    return error == httplib::Error::Connection ||
           error == httplib::Error::ConnectionTimeout ||
           error == httplib::Error::BindIPAddress;
}

} // namespace

connection_pool::connection_pool(duration connect_timeout)
    : connect_timeout{connect_timeout}
{
}

connection_pool::~connection_pool() = default;

std::unique_ptr<httplib::Client>
connection_pool::take(std::string const& address, bool fresh)
{
    if (!fresh)
    {
        std::lock_guard const lock{this->mutex};
        auto& kept = this->idle[address];
        if (!kept.empty())
        {
            auto client = std::move(kept.back());
            kept.pop_back();
            return client;
        }
    }
    auto const where = parse_endpoint(address);
    auto client = std::make_unique<httplib::Client>(where.host, where.port);
    client->set_connection_timeout(
        std::chrono::milliseconds{this->connect_timeout.ms});
    client->set_read_timeout(read_timeout_seconds);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    client->set_decompress(false);
    // Forwards the path as the caller encoded it.
    client->set_url_encode(false);
    return client;
}

void connection_pool::give_back(std::string const& address,
                                std::unique_ptr<httplib::Client> client)
{
    std::lock_guard const lock{this->mutex};
    auto& kept = this->idle[address];
    if (kept.size() < max_idle_per_address)
    {
        kept.push_back(std::move(client));
    }
}

std::shared_ptr<exchange> exchange::start(worker_pool& workers,
                                          connection_pool& connections,
                                          std::string address,
                                          exchange_request request)
{
    std::shared_ptr<exchange> started{new exchange};
    workers.enqueue([started, &connections, address = std::move(address),
                     request = std::move(request)]
                    { started->run(connections, address, request); });
    return started;
}

std::optional<exchange_event> exchange::wait(duration bound)
{
    std::unique_lock lock{this->mutex};
    bool const arrived =
        this->changed.wait_for(lock, std::chrono::milliseconds{bound.ms},
                               [this] { return !this->events.empty(); });
    if (!arrived)
    {
        return std::nullopt;
    }
    auto event = std::move(this->events.front());
    this->events.pop_front();
    this->queued_bytes -= event.data.size();
    this->changed.notify_all();
    return event;
}

void exchange::cancel()
{
    std::lock_guard const lock{this->mutex};
    this->cancelled = true;
    this->changed.notify_all();
    if (this->running != nullptr)
    {
        this->running->stop();
    }
}

bool exchange::push(exchange_event event)
{
    std::unique_lock lock{this->mutex};
    this->changed.wait(
        lock, [this]
        { return this->cancelled || this->queued_bytes < max_queued_bytes; });
    if (this->cancelled)
    {
        return false;
    }
    this->queued_bytes += event.data.size();
    this->events.push_back(std::move(event));
    this->changed.notify_all();
    return true;
}

void exchange::run(connection_pool& connections, std::string const& address,
                   exchange_request const& request)
{
    auto client = connections.take(address, request.fresh_connection);
    {
        std::lock_guard const lock{this->mutex};
        if (this->cancelled)
        {
            return;
        }
        this->running = client.get();
    }
    auto wire = to_httplib(request);
    std::string malformed;
    wire.response_handler =
        [this, &malformed](httplib::Response const& response)
    {
        if (auto const why = find_response_fault(response))
        {
            malformed = *why;
            return false;
        }
        return this->push({exchange_event::kind::head, response.status,
                           copy_headers(response.headers), "", true, ""});
    };
    wire.content_receiver =
        [this](char const* data, std::size_t size, std::uint64_t, std::uint64_t)
    {
        return this->push({exchange_event::kind::data,
                           0,
                           {},
                           std::string{data, size},
                           true,
                           ""});
    };
    httplib::Response response;
    auto error = httplib::Error::Success;
    bool const complete = client->send(wire, response, error);
    {
        std::lock_guard const lock{this->mutex};
        this->running = nullptr;
    }
    if (complete)
    {
        connections.give_back(address, std::move(client));
        this->push({exchange_event::kind::end, 0, {}, "", true, ""});
        return;
    }
    this->push({exchange_event::kind::failed,
                0,
                {},
                "",
                !provably_unsent(error),
                malformed.empty() ? httplib::to_string(error) : malformed});
}

std::string header_value(headers const& all, std::string const& name)
{
    auto const found = all.find(name);
    return found == all.end() ? std::string{} : found->second;
}

} // namespace caperpath::http
