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

/// The router's metrics over a registry of its own. Labels are bounded: none
/// names a customer, a budget or a request, so memory does not grow with
/// traffic. Every member is thread safe and none blocks on anything but short
/// locks. Spans of time are given in microseconds and shown in seconds.
class metrics
{
public:
    metrics();
    ~metrics();

    metrics(metrics const&) = delete;
    metrics& operator=(metrics const&) = delete;

    /// One answered request; `status` is the HTTP status code.
    void request_finished(request::outcome kind, int status);

    /// A refusal by its stable code. Codes beyond `max_refusal_codes` distinct
    /// ones are counted as "other".
    void refused(std::string_view code);

    /// An open answer stream. @pre each open is closed once.
    void stream_opened();
    void stream_closed();

    /// From the request's arrival to its first token.
    void first_token(std::int64_t microseconds);

    /// Between two tokens of one stream.
    void token_gap(std::int64_t microseconds);

    /// How long a reservation took.
    void reserve_wait(std::int64_t microseconds);

    /// How safe a bill was when its request finished.
    void bill_finished(budget::bill_state state);

    /// A table write, with what became known of it.
    void table_write(store::commit_outcome outcome);
    void table_read(bool succeeded);

    /// A request sent to another backend server after the first failed.
    void retried();

    /// The version of the configuration in force.
    void config_version(std::uint64_t version);

    /// How many backend servers are marked as leaving.
    void backend_servers_leaving(std::size_t count);

    /// The total so far, as the span sink counts it; a smaller one is ignored.
    void spans_dropped(std::uint64_t total);

    /// The registry in Prometheus' text format.
    std::string render() const;

    static constexpr std::size_t max_refusal_codes{32};

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace caperpath::observe

#endif
