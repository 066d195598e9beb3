#include "router/load_poller.hpp"

#include <caperpath/base/http_status.hpp>

#include "http/message_framing.hpp"
#include "http/server.hpp"
#include "http/server_client.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <utility>

namespace caperpath::router
{

namespace
{

constexpr std::size_t max_threads = 8;
constexpr int timeout_ms = 500;
constexpr std::size_t max_response_bytes = 64 * 1024;
// Interval of the check for a new configuration, and so the longest delay until
// the backend controller gets it.
constexpr duration configuration_check{50};

std::int64_t integer_member(nlohmann::json const& object, char const* name)
{
    auto const member = object.find(name);
    bool const valid = member != object.end() && member->is_number_integer();
    return valid ? member->get<std::int64_t>() : 0;
}

controllers::load_report parse_load(backend_server_id const& id,
                                    std::string const& text)
{
    auto const body = nlohmann::json::parse(text, nullptr, false);
    if (!body.is_object())
    {
        return {id, false, 0, 0, 0, {}, false};
    }
    auto const draining = body.find("leaving");
    return {id,
            true,
            integer_member(body, "running"),
            integer_member(body, "queued"),
            integer_member(body, "slots"),
            {integer_member(body, "age_ms")},
            draining != body.end() && *draining == true};
}

} // namespace

load_poller::load_poller(caf::actor backend_controller,
                         configuration_source configuration, clock time,
                         duration interval)
    : controller{std::move(backend_controller)},
      configuration{std::move(configuration)}, time{std::move(time)},
      interval{interval}, workers{max_threads}, thread{[this]
                                                       {
                                                           this->run();
                                                       }}
{
}

load_poller::~load_poller()
{
    {
        std::lock_guard const lock{this->mutex};
        this->stopping = true;
    }
    this->wake.notify_all();
    this->thread.join();
    this->workers.shutdown();
}

bool load_poller::view_ready() const
{
    return this->configuration_sent.load();
}

void load_poller::run()
{
    std::shared_ptr<config::document const> current;
    instant next_poll;
    while (true)
    {
        auto const latest = this->configuration();
        if (latest != nullptr && latest != current)
        {
            current = latest;
            controllers::send_configuration(this->controller, current);
            this->configuration_sent = true;
        }
        auto const now = this->time.now();
        if (current != nullptr && now >= next_poll)
        {
            this->poll_all(*current);
            next_poll = now + this->interval;
        }
        std::unique_lock lock{this->mutex};
        auto const pause = std::chrono::milliseconds{configuration_check.ms};
        if (this->wake.wait_for(lock, pause, [this] { return this->stopping; }))
        {
            return;
        }
    }
}

void load_poller::poll_all(config::document const& document)
{
    for (auto const& [id, server] : document.backend_servers)
    {
        if (server.kind != config::backend_kind::engine)
        {
            continue;
        }
        std::lock_guard const lock{this->mutex};
        bool const inserted = this->pending.insert(id).second;
        if (inserted)
        {
            this->workers.enqueue([this, id = id, address = server.address]
                                  { this->poll_one(id, address); });
        }
    }
}

void load_poller::poll_one(backend_server_id const& id,
                           std::string const& address)
{
    auto const where = http::parse_endpoint(address);
    http::server_client client{
        where,
        {.total_bytes = max_response_bytes, .time = duration{timeout_ms}}};
    client.set_connection_timeout(std::chrono::milliseconds{timeout_ms});
    client.set_read_timeout(std::chrono::milliseconds{timeout_ms});
    auto const response = client.Get("/load");
    if (response && response->status == http_ok &&
        !http::find_response_fault(*response))
    {
        controllers::send_load_report(this->controller,
                                      parse_load(id, response->body));
    }
    std::lock_guard const lock{this->mutex};
    this->pending.erase(id);
}

} // namespace caperpath::router
