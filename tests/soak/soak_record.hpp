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

/// How a request ended for its caller.
struct ending
{
    int status{};             ///< 0 if no head of an answer came
    bool whole{false};        ///< the answer's framing was complete
    bool right{false};        ///< it holds what was asked for
    bool sent{false};         ///< the whole request was sent
    bool closed{true};        ///< the connection ended
    std::int64_t sent_ms{-1}; ///< when the last byte was sent
    std::string fault;        ///< how the connection ended
};

/// What was promised to callers, checked from outside. Loop thread only.
class soak_record
{
public:
    /// `on_broken` is called once, at the first broken promise.
    explicit soak_record(std::function<void()> on_broken);

    /// Since the record began.
    std::int64_t now_ms() const;

    void begin(std::string const& id, request_kind kind);
    void note(std::string const& id, std::string const& what);
    void server_saw(std::string const& id);
    void end(std::string const& id, ending const& how);

    /// Tokens that a caller was served.
    void spend(std::string const& id, std::string const& customer,
               std::int64_t tokens);
    void pay(std::string const& customer, std::int64_t tokens);

    /// For the summary.
    void count(std::string const& what);

    /// Breaks the soak if it could not have shown anything.
    void check_reach();

    /// This process itself was not run for a while.
    void note_stall();

    void broken(std::string const& promise, std::string const& history);

    /// Empty as long as every promise was kept.
    std::string const& first_broken() const;
    std::string summary() const;

private:
    struct request
    {
        request_kind kind{};
        int runs{};
        bool refused{false};
        std::string history;
    };

    void judge(std::string const& id, request const& of, ending const& how);
    void judge_silence(std::string const& id, request const& of,
                       ending const& how);

    std::function<void()> on_broken;
    std::chrono::steady_clock::time_point began;
    std::map<std::string, request> requests;
    std::map<std::string, std::int64_t> left; ///< tokens, by customer
    std::map<std::string, std::int64_t> counts;
    std::set<request_kind> served; ///< at least once
    std::int64_t stalled_ms{-1};
    std::string first;
};

} // namespace caperpath::soak

#endif
