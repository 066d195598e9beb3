#include "router/site.hpp"

#include <caperpath/budget/recovery.hpp>
#include <caperpath/budget/rows.hpp>
#include <caperpath/config/keys.hpp>
#include <caperpath/config/store.hpp>
#include <caperpath/store/http_port.hpp>

#include <httplib.h>

#include <chrono>
#include <stdexcept>
#include <thread>

namespace caperpath::tests
{

namespace
{

constexpr std::size_t engine_count = 2;
constexpr std::size_t max_rows = 10'000;
constexpr int http_ok = 200;
// A passing run never reaches these limits; they end a failed run.
constexpr int max_polls = 400;
constexpr auto pause = std::chrono::milliseconds{25};

std::string loopback(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

nlohmann::json hashed(std::string const& key, char fill)
{
    auto const hash =
        config::hash_key(key, std::string(config::salt_bytes, fill));
    return {{"salt", hash.salt}, {"sha256", hash.sha256}};
}

void check(bool holds, char const* step)
{
    if (!holds)
    {
        throw std::runtime_error{step};
    }
}

bool reports_ready(std::string const& address)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    auto const response = client.Get("/readyz");
    return response && response->status == http_ok;
}

} // namespace

stand_in::engine_settings site::fast_engine()
{
    stand_in::engine_settings settings;
    settings.first_token = {1};
    settings.token_time = {1};
    settings.prefill_per_1000_tokens = {1};
    return settings;
}

site::site(std::size_t router_count, stand_in::engine_settings const& engine,
           duration request_timeout, router_limits const& limits)
    : request_timeout{request_timeout}, limits{limits},
      first_key{
          config::make_key({"agency"}, std::string(config::secret_bytes, 'a'))},
      second_key{config::make_key({"technicians"},
                                  std::string(config::secret_bytes, 'b'))}
{
    store::store_emulator_settings given;
    given.writes_per_second = 10'000;
    given.reads_per_second = 10'000;
    this->table = std::make_unique<store::store_emulator>(given);
    this->table_address = this->table->start();
    this->port = store::make_http_port({.address = this->table_address});
    this->start_backends(engine);
    this->write_configuration();
    for (std::size_t i = 0; i < router_count; ++i)
    {
        this->start_router(i);
    }
}

site::~site()
{
    // A silent emulator would delay a router's stop.
    if (!this->service_stopped)
    {
        clear_faults(this->service_address());
    }
    clear_faults(this->table_address);
    for (std::size_t i = 0; i < this->engines.size(); ++i)
    {
        clear_faults(this->engine_address(i));
    }
    for (std::size_t i = 0; i < this->routers.size(); ++i)
    {
        this->stop_router(i);
    }
}

void site::start_backends(stand_in::engine_settings const& engine)
{
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        auto settings = engine;
        settings.name = "engine-" + std::to_string(i);
        this->engines.push_back(
            std::make_unique<stand_in::engine>(settings, clock::monotonic()));
        this->engine_ports.push_back(this->engines.back()->start());
    }
    stand_in::service_settings settings;
    settings.name = "taller-app";
    this->orders =
        std::make_unique<stand_in::service>(settings, clock::monotonic());
    this->orders_port = this->orders->start();
}

nlohmann::json site::configuration()
{
    auto document = nlohmann::json::parse(R"({
        "budgets": {"agency": {"policy": "overspend_first"},
                    "technicians": {"policy": "false_refusals_first"}},
        "models": {"asistente": {"prompt_price": 1, "completion_price": 3}},
        "services": {"taller-app": {"calls": [
            {"method": "POST", "path_prefix": "/parts",
             "idempotent": false, "price": 50},
            {"method": "GET", "path_prefix": "/",
             "idempotent": true, "price": 1}]}},
        "routing": {"policy": "round_robin", "request_timeout_ms": 20000}
    })");
    document["customers"] = {
        {"agency",
         {{"keys", {hashed(this->first_key, 's')}}, {"budget", "agency"}}},
        {"technicians",
         {{"keys", {hashed(this->second_key, 't')}},
          {"budget", "technicians"}}}};
    document["routing"]["request_timeout_ms"] = this->request_timeout.ms;
    auto& servers = document["backend_servers"];
    for (std::size_t i = 0; i < engine_count; ++i)
    {
        servers["engine-" + std::to_string(i)] = {
            {"kind", "engine"},
            {"serves", "asistente"},
            {"address", this->engine_address(i)},
            {"failure_domain", "sala-norte"}};
    }
    servers["orders-0"] = {{"kind", "plain_service"},
                           {"serves", "taller-app"},
                           {"address", this->service_address()},
                           {"failure_domain", "sala-sur"}};
    return document;
}

void site::write_configuration()
{
    auto const accepted = config::submit_patch(
        this->port, {0, this->configuration(), "first", "test", {0}});
    for (auto const& fault : accepted.faults)
    {
        throw std::runtime_error{fault.path + ": " + fault.detail};
    }
    check(accepted.status == config::patch_status::accepted, "configuration");
    for (auto const* budget : {"agency", "technicians"})
    {
        auto const topped_up = value_or_error(
            [&]
            { return budget::top_up(this->port, {budget}, "first", paid); });
        check(std::holds_alternative<token_count>(topped_up), "top-up");
    }
}

void site::start_router(std::size_t index)
{
    router::settings settings;
    settings.vm = "vm-" + std::to_string(index);
    settings.failure_domain = {"sala-norte"};
    settings.listen = "127.0.0.1:0";
    settings.platform = this->table_address;
    settings.config_poll = {20};
    settings.load_poll = {50};
    settings.settle_interval = {5};
    settings.deferred_settle_interval = {20};
    settings.balancer_lag = {0};
    settings.drain_bound = this->limits.drain_bound;
    settings.read_timeout = {1'000};
    this->routers.push_back(std::make_unique<router::router>(
        settings, settings.vm + "-1", 1 + index));
    auto const started =
        value_or_error([&] { return this->routers.back()->start(); });
    check(std::holds_alternative<int>(started), "start router");
    this->router_ports.push_back(std::get<int>(started));
    for (int i = 0; !reports_ready(this->router_address(index)); ++i)
    {
        check(i < max_polls, "router is not ready");
        std::this_thread::sleep_for(pause);
    }
    // The list of backend servers is updated within 50 ms of the configuration.
    std::this_thread::sleep_for(4 * pause);
}

router::stop_report site::stop_router(std::size_t index)
{
    auto& router = this->routers.at(index);
    auto const report = router ? router->stop() : router::stop_report{};
    router.reset();
    return report;
}

std::string site::router_address(std::size_t index) const
{
    return loopback(this->router_ports.at(index));
}

std::string site::engine_address(std::size_t index) const
{
    return loopback(this->engine_ports.at(index));
}

std::string site::service_address() const
{
    return loopback(this->orders_port);
}

std::string site::platform_address() const
{
    return this->table_address;
}

std::string const& site::key() const
{
    return this->first_key;
}

std::string const& site::other_key() const
{
    return this->second_key;
}

store::port const& site::store() const
{
    return this->port;
}

std::vector<budget::bill> site::ledger() const
{
    std::vector<budget::bill> all;
    auto const rows = this->port.scan("ledger/", "", max_rows).value();
    for (auto const& row : rows)
    {
        auto const bills = budget::decode_bills(row.value).value();
        all.insert(all.end(), bills.begin(), bills.end());
    }
    return all;
}

bool site::wait_for_bills(std::size_t count) const
{
    for (int i = 0; i < max_polls; ++i)
    {
        std::size_t costly = 0;
        for (auto const& bill : this->ledger())
        {
            costly += bill.tokens > 0 ? 1 : 0;
        }
        if (costly >= count)
        {
            return costly == count;
        }
        std::this_thread::sleep_for(pause);
    }
    return false;
}

void site::crash_router(std::size_t index)
{
    this->routers.at(index)->disconnect();
}

void site::prove_dead(std::size_t index)
{
    auto const name = "vm-" + std::to_string(index) + "-1";
    auto const recovered = value_or_error(
        [&]
        {
            return budget::recover(
                this->port, {{name}, budget::proof_kind::absent_after_listed});
        });
    check(recovered.index() == 0, "recover");
}

nlohmann::json site::get(std::string const& address, char const* path)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    auto const response = client.Get(path);
    check(response && response->status == http_ok, path);
    return nlohmann::json::parse(response->body);
}

std::int64_t site::executions(std::string const& id) const
{
    return get(this->service_address(), "/executions").value(id, 0);
}

std::int64_t site::executions() const
{
    std::int64_t sum = 0;
    for (auto const& count : get(this->service_address(), "/executions"))
    {
        sum += count.get<std::int64_t>();
    }
    return sum;
}

nlohmann::json site::engine_stats(std::size_t index) const
{
    return get(this->engine_address(index), "/stats");
}

void site::stop_service()
{
    this->orders->stop();
    this->service_stopped = true;
}

void site::command_engine(std::size_t index, std::string const& command)
{
    auto const where = http::parse_endpoint(this->engine_address(index));
    httplib::Client client{where.host, where.port};
    nlohmann::json const body{{"fencing", 1}, {"order", command}};
    auto const response =
        client.Post("/orders", body.dump(), "application/json");
    check(response && response->status == http_ok, "command engine");
}

void site::clear_faults(std::string const& address)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    auto const response = client.Delete("/faults");
    check(response && response->status / 100 == 2, "clear faults");
}

void site::post_fault(std::string const& address, nlohmann::json const& fault)
{
    auto const where = http::parse_endpoint(address);
    httplib::Client client{where.host, where.port};
    auto const response =
        client.Post("/faults", fault.dump(), "application/json");
    check(response && response->status / 100 == 2, "post fault");
}

} // namespace caperpath::tests
