#ifndef CAPERPATH_TESTS_SOAK_SOAK_RECORD_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace caperpath::soak
{

enum class request_kind
{
    order, ///< non-idempotent
    read,  ///< idempotent
    stream
};

/// Outcome of a request as its caller sees it.
struct request_outcome
{
    int status{};             ///< 0 if no response head was received
    bool whole{false};        ///< the response's framing was complete
    bool right{false};        ///< the body is the expected one
    bool sent{false};         ///< the whole request was sent
    bool closed{true};        ///< the connection ended
    std::int64_t sent_ms{-1}; ///< when the last byte was sent
    std::string fault;        ///< how the connection ended
};

/// Checks the guarantees given to callers from outside. Loop thread only.
class soak_record
{
public:
    /// `on_violation` is called at the first violation of each guarantee.
    explicit soak_record(std::function<void()> on_violation);

    /// Time since construction.
    std::int64_t now_ms() const;

    void begin(std::string const& id, request_kind kind, int router);
    void note(std::string const& id, std::string const& what);
    /// A server executes the request that arrived there `waited_ms` ago, with
    /// `time_left_ms` to respond.
    void note_execution(std::string const& id, std::int64_t time_left_ms,
                        std::int64_t waited_ms);

    /// The caller waits until `at_ms`.
    void expect_until(std::string const& id, std::int64_t at_ms);

    /// The caller has closed its connection.
    void leave(std::string const& id);
    void end(std::string const& id, request_outcome const& how);

    /// Counts tokens that were served to a caller.
    void spend(std::string const& id, std::string const& customer,
               std::int64_t tokens);
    void pay(std::string const& customer, std::int64_t tokens);

    /// Increments a counter of the summary.
    void count(std::string const& what);

    /// The value of a counter; 0 if it was never incremented.
    std::int64_t counted(std::string const& what) const;

    /// Reports a violation if several requests reached servers long after their
    /// callers had left, or with much more time than their callers wait.
    void check_late_work();

    /// Reports a violation if requests of some kind were never served, as such
    /// a run proves nothing.
    void check_coverage();

    /// Records that this process itself was not scheduled for some time.
    void record_stall();

    void report_violation(std::string const& promise,
                          std::string const& history);

    /// What was noted of a request.
    std::string history(std::string const& id) const;

    /// The first violation of each guarantee; empty if none was violated.
    std::string const& all_violations() const;
    std::string summary() const;

    /// True if what a router sent to servers since then may have been held by
    /// its paths.
    std::function<bool(int router, std::int64_t since_ms)> was_held{
        [](int, std::int64_t)
        {
            return false;
        }};

private:
    struct request
    {
        request_kind kind{};
        int router{};
        std::int64_t began_ms{};
        int runs{};
        bool rejected{false};
        std::int64_t until_ms{-1}; ///< the caller waits; -1: not known
        std::int64_t left_ms{-1};  ///< the caller left; -1: it did not
        std::string history;
    };

    void check_time(std::string const& id, std::int64_t arrived_ms,
                    std::int64_t time_left_ms);
    void check_outcome(std::string const& id, request const& of,
                       request_outcome const& how);
    void check_no_response(std::string const& id, request const& of,
                           request_outcome const& how);

    std::function<void()> on_violation;
    std::chrono::steady_clock::time_point began;
    std::map<std::string, request> requests;
    std::map<std::string, std::int64_t> left; ///< tokens, by customer
    std::map<std::string, std::int64_t> counts;
    std::set<request_kind> served; ///< at least once
    std::int64_t stalled_ms{-1};
    std::string late_work;        ///< histories of the first such requests
    std::set<std::string> broken; ///< guarantees
    std::string violations;
};

} // namespace caperpath::soak

#endif
