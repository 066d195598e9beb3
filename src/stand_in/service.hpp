#ifndef CAPERPATH_STAND_IN_SERVICE_HPP
#define CAPERPATH_STAND_IN_SERVICE_HPP

#include "http/server.hpp"
#include "stand_in/command_handler.hpp"
#include "stand_in/fault_registry.hpp"
#include "stand_in/load_history.hpp"
#include "stand_in/run_counter.hpp"
#include "stand_in/stop_signal.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/config/json_reader.hpp>

#include <atomic>
#include <cstdint>
#include <string>
#include <vector>

namespace caperpath::stand_in
{

/// Settings of `caperpath-service`. Immutable value.
struct service_settings
{
    std::string listen{"127.0.0.1:0"};
    std::string name{"service"};
    duration work{5};       ///< duration of one call
    std::int64_t slots{64}; ///< concurrent calls; more are rejected
    duration load_lag{500};
    bool checks_fencing{false};

    friend bool operator==(service_settings const&,
                           service_settings const&) = default;
};

/// Reads and checks a settings document; adds every error to `faults`.
/// Thread safe.
service_settings parse_service_settings(nlohmann::json const& document,
                                        std::vector<config::fault>& faults);

/// Emulator of a plain service without idempotency: it runs every call and
/// counts the runs by key, so that duplicate work is detected. Thread safe.
class service
{
public:
    service(service_settings settings, clock const& time);
    ~service();

    service(service const&) = delete;
    service& operator=(service const&) = delete;

    /// Serves on the configured address. Returns the port, or -1 if it cannot
    /// be bound.
    int start();

    /// Ends delayed calls and joins the threads. Idempotent.
    void stop();

private:
    void add_routes();
    void call(httplib::Request const& request, httplib::Response& response);
    bool reject(httplib::Response& response);
    void run(httplib::Request const& request, httplib::Response& response);
    void drop_response(httplib::Request const& request);
    std::int64_t count_running(std::int64_t change);
    void load(httplib::Response& response) const;

    service_settings const settings;
    fault_registry faults;
    command_handler orders;
    load_history history;
    run_counter executions;
    stop_signal stopping;
    std::atomic<std::int64_t> running{0};
    http::server server;
};

} // namespace caperpath::stand_in

#endif
