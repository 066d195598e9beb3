#ifndef CAPERPATH_STAND_IN_ENGINE_HPP
#define CAPERPATH_STAND_IN_ENGINE_HPP

#include "http/server.hpp"
#include "stand_in/command_handler.hpp"
#include "stand_in/engine_settings.hpp"
#include "stand_in/fault_registry.hpp"
#include "stand_in/load_history.hpp"
#include "stand_in/prefix_cache.hpp"
#include "stand_in/response_stream.hpp"
#include "stand_in/run_counter.hpp"
#include "stand_in/scheduler.hpp"
#include "stand_in/stop_signal.hpp"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace caperpath::stand_in
{

/// Emulator of a model engine: an OpenAI chat endpoint over continuous batching
/// with a service-time model (see `engine_settings`), and a fault interface. It
/// runs no model: the prompt determines the response (see `response_text.hpp`).
/// Thread safe.
class engine
{
public:
    engine(engine_settings settings, clock const& time);
    ~engine();

    engine(engine const&) = delete;
    engine& operator=(engine const&) = delete;

    /// Serves on the configured address. Returns the port, or -1 if it cannot
    /// be bound.
    int start();

    /// Cuts open streams and joins the threads. Idempotent.
    void stop();

private:
    void add_routes();
    void chat(httplib::Request const& request, httplib::Response& response);
    bool reject_chat(std::string const& model, httplib::Response& response);
    void answer(std::shared_ptr<generation> const& source, response_format form,
                httplib::Response& response);
    void take_faults(stream_faults& faults);
    void accept_fault(fault_command const& fault);
    void apply_to_open(fault_command const& fault);
    void cut_open();
    void cancel(httplib::Request const& request, httplib::Response& response);
    void stats(httplib::Response& response) const;
    void load(httplib::Response& response) const;
    void cache_events(httplib::Request const& request,
                      httplib::Response& response) const;
    void models(httplib::Response& response) const;
    scheduler_hooks hooks();

    engine_settings const settings;
    clock const time;
    fault_registry faults;
    command_handler orders;
    prefix_cache cache;
    load_history history;
    run_counter runs;
    std::atomic<std::uint64_t> requests_without_id{0}; // requests without an id
    stop_signal stopping;
    std::mutex open_mutex;
    std::vector<std::weak_ptr<response_stream>> open;
    scheduler batch;
    http::server server;
};

} // namespace caperpath::stand_in

#endif
