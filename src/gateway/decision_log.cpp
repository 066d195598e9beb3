#include "gateway/decision_log.hpp"

#include "gateway/run_after.hpp"

#include <caperpath/observe/log.hpp>

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace caperpath::gateway
{

namespace
{

constexpr duration flush_interval{50};
/// Average rate of routine lines.
constexpr std::int64_t bytes_per_flush = 1'000;
constexpr std::int64_t burst_bytes = 64'000;
/// Size limit of the buffer for all lines. Notable lines ignore the rate limit.
constexpr std::size_t max_pending = 256'000;

} // namespace

decision_log::decision_log(boost::asio::any_io_executor const& executor,
                           int descriptor, std::string vm)
    : timer{executor}, descriptor{descriptor}, vm{std::move(vm)},
      routine_bytes_left{burst_bytes}
{
    auto const flags = ::fcntl(descriptor, F_GETFL);
    static_cast<void>(::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK));
    this->tick();
}

bool decision_log::allows(log_weight weight, std::size_t size)
{
    if (this->pending.size() + size > max_pending)
    {
        return false;
    }
    return weight == log_weight::notable || this->routine_bytes_left > 0;
}

void decision_log::write(log_weight weight, std::string_view step,
                         std::vector<log_field> const& fields)
{
    std::string line{"at="};
    line += std::to_string(caperpath::clock::wall().now().ms);
    line += " vm=";
    line += this->vm;
    line += " step=";
    line += step;
    for (auto const& field : fields)
    {
        line += ' ';
        line += field.name;
        line += '=';
        line += observe::escape_value(field.value);
    }
    line += '\n';
    if (!this->allows(weight, line.size()))
    {
        this->lines_dropped += 1;
        return;
    }
    this->routine_bytes_left -= static_cast<std::int64_t>(line.size());
    this->pending += line;
}

void decision_log::write_error(error const& what)
{
    this->write(log_weight::notable, what.step,
                {{"peer", what.peer},
                 {"kind", std::string{to_string(what.kind)}},
                 {"detail", what.detail}});
}

void decision_log::write_exception(std::string_view task,
                                   std::exception_ptr const& thrown) noexcept
{
    try
    {
        this->write_thrown(task, thrown);
    }
    catch (...)
    {
        this->lines_dropped += 1;
    }
}

void decision_log::write_thrown(std::string_view task,
                                std::exception_ptr const& thrown)
{
    std::string detail{"not a standard exception"};
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (std::exception const& fault)
    {
        detail = fault.what();
    }
    catch (...) // NOLINT(bugprone-empty-catch): `detail` says so
    {
    }
    this->write(log_weight::notable, "exception",
                {{"task", std::string{task}}, {"detail", detail}});
}

void decision_log::flush()
{
    while (!this->pending.empty())
    {
        auto const taken = ::write(this->descriptor, this->pending.data(),
                                   this->pending.size());
        if (taken <= 0)
        {
            return; // slow reader; the next flush continues
        }
        this->pending.erase(0, static_cast<std::size_t>(taken));
    }
}

void decision_log::finish(duration bound)
{
    auto const time = caperpath::clock::monotonic();
    auto const until = time.now() + bound;
    this->flush();
    while (!this->pending.empty() && time.now() < until)
    {
        pollfd writable{this->descriptor, POLLOUT, 0};
        auto const left = std::max(until - time.now(), duration{});
        ::poll(&writable, 1, static_cast<int>(left.ms));
        if ((writable.revents & (POLLERR | POLLNVAL)) != 0)
        {
            return; // the reader has closed its end
        }
        this->flush();
    }
}

std::uint64_t decision_log::dropped() const
{
    return this->lines_dropped;
}

void decision_log::tick()
{
    this->routine_bytes_left =
        std::min(burst_bytes, this->routine_bytes_left + bytes_per_flush);
    if (this->drops_reported != this->lines_dropped &&
        this->routine_bytes_left > 0)
    {
        auto const count = this->lines_dropped - this->drops_reported;
        this->drops_reported = this->lines_dropped;
        this->write(log_weight::notable, "log",
                    {{"dropped_lines", std::to_string(count)}});
    }
    this->flush();
    run_after(this->timer, flush_interval, [this] { this->tick(); });
}

} // namespace caperpath::gateway
