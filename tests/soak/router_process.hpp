#ifndef CAPERPATH_TESTS_SOAK_ROUTER_PROCESS_HPP
#define CAPERPATH_TESTS_SOAK_ROUTER_PROCESS_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace caperpath::soak
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/// Start parameters of a router process.
struct router_plan
{
    std::string gateway;          ///< the binary's path
    std::filesystem::path folder; ///< of settings and logs
    std::string store;            ///< "IP:port"
    int number{};
    int grace_s{};
};

/// A router process that can be restarted at the same address. Loop thread
/// only.
class router_process
{
public:
    router_process(asio::io_context& loop, router_plan plan);
    router_process(router_process const&) = delete;
    router_process& operator=(router_process const&) = delete;

    /// Kills the process if it is running.
    ~router_process();

    /// @pre no process runs. @throws std::system_error
    void start();

    /// Does nothing if the process has ended.
    void signal(int number);

    /// Ends the process at once. @pre it runs.
    void kill();

    /// Returns false once the process has ended; `exit_fault` then says how.
    bool runs();

    /// Returns an empty string if the process exited with code 0, or was ended
    /// by SIGTERM before its first connection.
    std::string exit_fault() const;

    std::uint16_t port() const;

    std::chrono::steady_clock::time_point started;
    std::int64_t connections{}; ///< accepted by this process from callers
    bool stopping{false};
    bool killed{false}; ///< since the latest start
    int starts{};

private:
    void write_settings() const;
    void reserve_port();

    asio::io_context& loop;
    router_plan plan;
    /// Bound but not listening, so that no other process can take these ports
    /// while the router is down.
    std::vector<tcp::acceptor> reserved;
    std::filesystem::path settings;
    std::filesystem::path log;
    pid_t pid{-1};
    int status{};
};

} // namespace caperpath::soak

#endif
