#include "soak/router_process.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cerrno>
#include <csignal>
#include <fstream>
#include <system_error>
#include <utility>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace caperpath::soak
{

namespace
{

constexpr int callers_port = 0;
constexpr int peer_port = 3;
constexpr int ports = 4;
constexpr int exec_failed = 127;

std::string local(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

/// Replaces this process with the router. Makes only calls that are safe after
/// fork().
[[noreturn]] void exec_router(char const* gateway, char const* settings,
                              int descriptor)
{
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::dup2(descriptor, STDOUT_FILENO);
    ::dup2(descriptor, STDERR_FILENO);
    ::close_range(STDERR_FILENO + 1, ~0U, 0);
    ::execl(gateway, gateway, "--settings", settings, nullptr);
    ::_exit(exec_failed);
}

/// Waits until no process can write to the pipe. A child that has not run yet
/// still holds the listening sockets of this process, whose ports could not be
/// bound again.
void wait_for_end(int pipe)
{
    char unused{};
    while (::read(pipe, &unused, 1) < 0 && errno == EINTR)
    {
    }
}

} // namespace

router_process::router_process(asio::io_context& loop, router_plan plan)
    : loop{loop}, plan{std::move(plan)}
{
    for (int i = 0; i < ports; ++i)
    {
        this->reserve_port();
    }
    auto const name = "router-" + std::to_string(this->plan.number);
    this->settings = this->plan.folder / (name + ".json");
    this->log = this->plan.folder / (name + ".log");
    this->write_settings();
}

router_process::~router_process()
{
    if (this->runs())
    {
        this->signal(SIGKILL);
        ::waitpid(this->pid, nullptr, 0);
    }
}

void router_process::reserve_port()
{
    auto& one = this->reserved.emplace_back(this->loop, tcp::v4());
    one.set_option(tcp::acceptor::reuse_address{true});
    one.bind({asio::ip::make_address("127.0.0.1"), 0});
}

std::uint16_t router_process::port() const
{
    return this->reserved[callers_port].local_endpoint().port();
}

void router_process::write_settings() const
{
    auto const at = [this](std::size_t index)
    {
        return local(this->reserved[index].local_endpoint().port());
    };
    std::ofstream{this->settings} << nlohmann::json{
        {"vm", "edge-" + std::to_string(this->plan.number)},
        {"failure_domain", "z"},
        {"callers", at(callers_port)},
        {"readiness", at(1)},
        {"metrics", at(2)},
        {"store_address", this->plan.store},
        {"peer_ports",
         std::to_string(this->reserved[peer_port].local_endpoint().port())},
        {"grace_s", this->plan.grace_s}};
}

void router_process::start()
{
    auto const descriptor =
        ::open(this->log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    std::array<int, 2> closed{-1, -1}; // ends when the child has closed it
    auto const ready = descriptor >= 0 && ::pipe(closed.data()) == 0;
    this->pid = ready ? ::fork() : -1;
    if (this->pid == 0)
    {
        exec_router(this->plan.gateway.c_str(), this->settings.c_str(),
                    descriptor);
    }
    auto const fault = errno;
    ::close(descriptor);
    ::close(closed[1]);
    if (this->pid > 0)
    {
        wait_for_end(closed[0]);
    }
    ::close(closed[0]);
    if (this->pid < 0)
    {
        throw std::system_error{fault, std::system_category(), "start router"};
    }
    this->started = std::chrono::steady_clock::now();
    this->connections = 0;
    this->stopping = false;
    this->killed = false;
    this->starts += 1;
}

void router_process::signal(int number)
{
    if (this->runs())
    {
        ::kill(this->pid, number);
        this->stopping = this->stopping || number == SIGTERM;
    }
}

void router_process::kill()
{
    this->killed = true;
    this->signal(SIGKILL);
    ::waitpid(this->pid, &this->status, 0);
    this->pid = -1;
}

bool router_process::runs()
{
    if (this->pid > 0 &&
        ::waitpid(this->pid, &this->status, WNOHANG) == this->pid)
    {
        this->pid = -1;
    }
    return this->pid > 0;
}

std::string router_process::exit_fault() const
{
    if (WIFEXITED(this->status))
    {
        auto const code = WEXITSTATUS(this->status);
        return code == 0 ? "" : "exit code " + std::to_string(code);
    }
    // A signal that arrives before its handler is installed ends the process.
    auto const number = WTERMSIG(this->status);
    return number == SIGTERM && this->connections == 0
               ? ""
               : "signal " + std::to_string(number);
}

} // namespace caperpath::soak
