#ifndef CAPERPATH_SRC_GATEWAY_DECISION_LOG_HPP
#define CAPERPATH_SRC_GATEWAY_DECISION_LOG_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::gateway
{

/// One `name=value` of a line.
struct log_field
{
    std::string_view name;
    std::string value;
};

/// How much a line matters when not all can be written.
enum class log_weight
{
    routine, ///< a request that went well
    notable  ///< a failed request, or a change of what the process believes
};

/// Structured lines to a file descriptor, one a decision. Never blocks: lines
/// wait in memory, bounded, and what does not fit is counted and the count
/// written later. Without that a reader that stops reading the pipe stops the
/// router. Loop thread only.
class decision_log
{
public:
    /// Sets `descriptor` to non-blocking.
    decision_log(boost::asio::any_io_executor const& executor, int descriptor,
                 std::string vm);

    /// Writes `at=.. vm=.. step=.. name=value ..`.
    void write(log_weight weight, std::string_view step,
               std::vector<log_field> const& fields);

    /// An error with its step, peer and kind.
    void fault(error const& what);

    /// Hands over what the descriptor takes now.
    void flush();

    /// For the end of the process: a `flush` that waits for a slow reader, but
    /// not beyond `bound`. Blocks.
    void finish(duration bound);

    /// Lines that were not written, since the start.
    std::uint64_t dropped() const;

private:
    void tick();
    bool allows(log_weight weight, std::size_t size);

    boost::asio::steady_timer timer;
    int descriptor;
    std::string vm;
    std::string pending;
    std::int64_t allowance;
    std::uint64_t lines_dropped{};
    std::uint64_t drops_told{};
};

} // namespace caperpath::gateway

#endif
