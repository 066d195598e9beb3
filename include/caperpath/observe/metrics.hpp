#ifndef CAPERPATH_OBSERVE_METRICS_HPP
#define CAPERPATH_OBSERVE_METRICS_HPP

#include <caperpath/budget/bill.hpp>
#include <caperpath/request/outcome.hpp>
#include <caperpath/store/table.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace caperpath::observe
{

/// The router's metrics, in a separate registry. Label values are bounded: none
/// names a customer, a budget or a request, so memory does not grow with
/// traffic. All members are thread safe and block only on short locks.
/// Durations are passed in microseconds and exported in seconds.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// Counts one request with a response; `status` is the HTTP status code.
    void request_finished(request::outcome kind, int status);

    /// Counts a rejection by its stable code. After `max_refusal_codes`
    /// distinct codes, new ones are counted as "other".
    void request_rejected(std::string_view code);

    /// Tracks open response streams. @pre each opened stream is closed once.
    void stream_opened();
    void stream_closed();

    /// Records the time from a request's arrival to its first token.
    void first_token(std::int64_t microseconds);

    /// Records the time between two tokens of one stream.
    void token_gap(std::int64_t microseconds);

    /// Records the duration of a reservation.
    void reserve_wait(std::int64_t microseconds);

    /// Counts a bill by its durability when its request finished.
    void bill_finished(budget::bill_state state);

    /// Counts a table write by its outcome.
    void table_write(store::commit_outcome outcome);
    void table_read(bool succeeded);

    /// Counts a request sent to another backend server after the first failed.
    void retried();

    /// Sets the version of the active configuration.
    void config_version(std::uint64_t version);

    /// Sets the number of draining backend servers.
    void backend_servers_leaving(std::size_t count);

    /// Sets the span sink's total of dropped spans; a smaller total is ignored.
    void spans_dropped(std::uint64_t total);

    /// Returns the registry in Prometheus' text format.
    std::string render() const;

    static constexpr std::size_t max_refusal_codes{32};

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace caperpath::observe

#endif
