#ifndef CAPERPATH_SRC_GATEWAY_DECISION_LOG_HPP
#define CAPERPATH_SRC_GATEWAY_DECISION_LOG_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::gateway
{

/// One `name=value` field of a line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// Priority of a line if not all lines can be written.
enum class log_weight
{
    routine, ///< a request that was served
    notable  ///< a failed request, or a change of state
};

/// Writes structured lines to a file descriptor, one per decision. Never
/// blocks: lines are buffered up to a bound; lines beyond it are dropped, and
/// their count is logged later. Otherwise a reader that stops reading the pipe
/// would stop the router. Loop thread only.
class decision_log
{
public:
    /// Sets `descriptor` to non-blocking.
    decision_log(boost::asio::any_io_executor const& executor, int descriptor,
                 std::string vm);

    /// Writes `at=.. vm=.. step=.. name=value ..`.
    void write(log_weight weight, std::string_view step,
               std::vector<log_field> const& fields);

    /// Writes an error with its step, peer and kind.
    void write_error(error const& what);

    /// Writes that an exception ended `task`. A line for which there is no
    /// memory counts as dropped.
    void write_exception(std::string_view task,
                         std::exception_ptr const& thrown) noexcept;

    /// Writes as much as the descriptor accepts now.
    void flush();

    /// Flushes before the process exits: waits for a slow reader, at most
    /// `bound`. Blocks.
    void finish(duration bound);

    /// Number of lines dropped since the start.
    std::uint64_t dropped() const;

private:
    void tick();
    bool allows(log_weight weight, std::size_t size);
    void write_thrown(std::string_view task, std::exception_ptr const& thrown);

    boost::asio::steady_timer timer;
    int descriptor;
    std::string vm;
    std::string pending;
    std::int64_t routine_bytes_left;
    std::uint64_t lines_dropped{};
    std::uint64_t drops_reported{};
};

} // namespace caperpath::gateway

#endif
