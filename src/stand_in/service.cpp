#include "stand_in/service.hpp"

#include "http/cut_connection.hpp"
#include "stand_in/admin_routes.hpp"
#include "stand_in/engine_settings.hpp"
#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace caperpath::stand_in
{

namespace
{

constexpr std::size_t max_counted_keys = 1'000'000;
constexpr std::int64_t max_ms = 600'000;
constexpr std::int64_t max_slots = 10'000;
constexpr duration poll_interval{50}; // interval of checks for cleared faults

std::string key_of(httplib::Request const& request)
{
    auto const* const header = request.has_header("Idempotency-Key")
                                   ? "Idempotency-Key"
                                   : "X-Request-Id";
    return request.get_header_value(header);
}

} // namespace

service_settings parse_service_settings(nlohmann::json const& document,
                                        std::vector<config::fault>& faults)
{
    config::json_reader reader{document, "", faults};
    service_settings const defaults;
    service_settings settings;
    settings.listen = read_listen(reader);
    settings.name = reader.text("name");
    settings.work = {reader.integer_or("work_ms", "milliseconds", 0, max_ms,
                                       defaults.work.ms)};
    settings.slots =
        reader.integer_or("slots", "calls", 1, max_slots, defaults.slots);
    settings.load_lag = {reader.integer_or("load_lag_ms", "milliseconds", 0,
                                           max_ms, defaults.load_lag.ms)};
    settings.checks_fencing =
        reader.boolean_or("checks_fencing", defaults.checks_fencing);
    reader.finish();
    return settings;
}

service::service(service_settings settings, clock const& time)
    : settings{std::move(settings)}, faults{time},
      orders{this->settings.checks_fencing, ""},
      history{time, this->settings.load_lag}, executions{max_counted_keys}
{
    this->add_routes();
}

service::~service()
{
    this->stop();
}

int service::start()
{
    return this->server.start(this->settings.listen);
}

void service::stop()
{
    this->stopping.raise();
    this->server.finish();
}

void service::add_routes()
{
    using httplib::Request;
    using httplib::Response;
    add_outage(this->server, this->faults, {"/faults", "/executions"});
    add_fault_routes(this->server, this->faults,
                     {"delay", "error", "outage", "silent", "drop_answer"},
                     [this](fault_command const& fault)
                     { this->faults.add(fault); });
    add_command_route(this->server, this->orders,
                      [this]
                      {
                          this->history.update(
                              [this](load_sample& sample)
                              { sample.leaving = this->orders.leaving(); });
                      });
    this->server.Get("/executions", [this](Request const&, Response& response)
                     { reply_json(response, 200, this->executions.all()); });
    this->server.Get("/load", [this](Request const&, Response& response)
                     { this->load(response); });
    auto const any = [this](Request const& request, Response& response)
    {
        this->call(request, response);
    };
    constexpr char const* every_path = "/.*";
    this->server.Get(every_path, any)
        .Post(every_path, any)
        .Put(every_path, any)
        .Patch(every_path, any)
        .Delete(every_path, any)
        .Options(every_path, any);
}

void service::call(httplib::Request const& request, httplib::Response& response)
{
    if (this->reject(response))
    {
        return;
    }
    if (this->count_running(1) > this->settings.slots)
    {
        reply_not_run(response, "all slots are taken");
    }
    else
    {
        this->run(request, response);
    }
    this->count_running(-1);
}

bool service::reject(httplib::Response& response)
{
    return rejected_by_fault_or_drain(this->faults, this->orders,
                                      this->stopping, response);
}

void service::run(httplib::Request const& request, httplib::Response& response)
{
    auto const key = key_of(request);
    auto const execution = this->executions.add(key);
    if (this->settings.work.ms > 0)
    {
        this->stopping.wait(this->settings.work);
    }
    reply_json(response, 200,
               {{"service", this->settings.name},
                {"key", key},
                {"execution", execution},
                {"method", request.method},
                {"path", request.path},
                {"body", request.body}});
    this->drop_response(request);
}

void service::drop_response(httplib::Request const& request)
{
    if (this->faults.take("drop_answer"))
    {
        http::cut_connection(request);
    }
    if (!this->faults.take("silent"))
    {
        return;
    }
    // Stays silent until the faults are cleared, then closes the connection
    // without a response.
    auto const before = this->faults.generation();
    while (this->faults.generation() == before &&
           !this->stopping.wait(poll_interval))
    {
    }
    http::cut_connection(request);
}

std::int64_t service::count_running(std::int64_t change)
{
    auto const running = this->running += change;
    this->history.update([change](load_sample& sample)
                         { sample.running += change; });
    return running;
}

void service::load(httplib::Response& response) const
{
    auto const sample = this->history.lagged();
    reply_json(response, 200,
               {{"running", sample.running},
                {"queued", sample.queued},
                {"slots", this->settings.slots},
                {"age_ms", this->settings.load_lag.ms},
                {"leaving", sample.leaving}});
}

} // namespace caperpath::stand_in
