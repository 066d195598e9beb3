#include "http/exchange.hpp"

#include "http/message_framing.hpp"
#include "http/server.hpp"
#include "http/server_client.hpp"

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
        auto const [at, is_new] = copied.emplace(lower(name), value);
        if (!is_new && at->second != value)
        {
            at->second += ", " + value;
        }
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

std::unique_ptr<server_client> connection_pool::take(std::string const& address,
                                                     bool fresh)
{
    if (!fresh)
    {
        std::lock_guard const lock{this->mutex};
        auto& kept = this->idle[address];
        while (!kept.empty())
        {
            auto client = std::move(kept.back());
            kept.pop_back();
            if (client->is_reusable())
            {
                return client;
            }
        }
    }
    auto client = std::make_unique<server_client>(parse_endpoint(address),
                                                  response_limits{});
    client->set_connection_timeout(
        std::chrono::milliseconds{this->connect_timeout.ms});
    client->set_read_timeout(read_timeout_seconds);
    client->set_keep_alive(true);
    client->set_tcp_nodelay(true);
    // Forwards the path as the caller encoded it.
    client->set_url_encode(false);
    return client;
}

void connection_pool::give_back(std::string const& address,
                                std::unique_ptr<server_client> client)
{
    if (!client->is_reusable())
    {
        return;
    }
    std::lock_guard const lock{this->mutex};
    auto& kept = this->idle[address];
    if (kept.size() < max_idle_per_address)
    {
        kept.push_back(std::move(client));
    }
}

held_total& connection_pool::held()
{
    return this->total;
}

exchange::exchange(held_total& total) : queued{total}
{
}

std::shared_ptr<exchange> exchange::start(worker_pool& workers,
                                          connection_pool& connections,
                                          std::string address,
                                          exchange_request request)
{
    std::shared_ptr<exchange> started{new exchange{connections.held()}};
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
    this->queued.remove(event.data.size());
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
    // An exchange with an empty queue always goes on, so none waits for others.
    this->changed.wait(lock,
                       [this]
                       {
                           return this->cancelled ||
                                  (this->queued.size() < max_queued_bytes &&
                                   !this->queued.exceeds(1));
                       });
    if (this->cancelled)
    {
        return false;
    }
    this->queued.add(event.data.size());
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
        [this, &malformed, &client](httplib::Response const& response)
    {
        client->end_head();
        if (auto const why = find_response_fault(response))
        {
            malformed = *why;
            return false;
        }
        return this->push({exchange_event::kind::head, response.status,
                           copy_headers(response.headers), "", true, "",
                           client->on_used_connection()});
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

bool may_belong_to(exchange_event const& head, std::string const& id)
{
    auto const named = head.headers.find("x-request-id");
    return named == head.headers.end() ? !head.on_used_connection
                                       : named->second == id;
}

} // namespace caperpath::http
