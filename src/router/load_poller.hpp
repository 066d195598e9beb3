#ifndef CAPERPATH_SRC_ROUTER_LOAD_POLLER_HPP
#define CAPERPATH_SRC_ROUTER_LOAD_POLLER_HPP

#include "http/worker_pool.hpp"

#include <caperpath/base/clock.hpp>
#include <caperpath/config/document.hpp>
#include <caperpath/controllers/backend_controller.hpp>

#include <caf/actor.hpp>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <thread>

namespace caperpath::router
{

/// Sends each new configuration to the backend controller and polls the load of
/// every model engine. An engine that does not respond delays no other poll.
/// Thread safe.
class load_poller
{
public:
    using configuration_source =
        std::function<std::shared_ptr<config::document const>()>;

    /// Starts polling on a thread of its own.
    load_poller(caf::actor backend_controller,
                configuration_source configuration, clock time,
                duration interval);

    /// Stops and waits for open polls, at most for their timeout.
    ~load_poller();

    load_poller(load_poller const&) = delete;
    load_poller& operator=(load_poller const&) = delete;

    /// True once a configuration has been sent to the backend controller.
    /// Before that it knows no backend server and would reject every request.
    bool view_ready() const;

private:
    void run();
    void poll_all(config::document const& document);
    void poll_one(backend_server_id const& id, std::string const& address);

    caf::actor controller;
    configuration_source configuration;
    clock time;
    duration interval;
    http::worker_pool workers;
    std::mutex mutex;
    std::condition_variable wake;
    bool stopping{false};
    std::atomic<bool> configuration_sent{false};
    std::set<backend_server_id> pending; ///< polls without a response yet
    std::thread thread;
};

} // namespace caperpath::router

#endif
