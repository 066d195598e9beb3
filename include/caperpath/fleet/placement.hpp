#ifndef CAPERPATH_FLEET_PLACEMENT_HPP
#define CAPERPATH_FLEET_PLACEMENT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/site.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Chooses the server that is expected to begin its response first. Pure
/// functions over plain values.
namespace caperpath::fleet
{

/// What placement needs to know of one request. Immutable value.
struct placement_request
{
    service_id service;
    /// Identifies the longest prompt prefix that requests share; 0 if none.
    std::uint64_t shared_part{};
    token_count shared_tokens{}; ///< length of that prefix
    token_count prompt_tokens{}; ///< the whole prompt
    token_count output_tokens{}; ///< at most
    /// Only servers of this software version fit; an empty one fits none.
    std::optional<std::string> version{};
    /// True for a stream that may be resumed: without `version`, only servers
    /// with a confirmed version fit.
    bool needs_confirmed_version{false};
    /// Only servers in these regions fit.
    residency regions{};
    /// False if only servers with a direct path fit.
    bool may_be_relayed{true};

    friend bool operator==(placement_request const&,
                           placement_request const&) = default;
};

/// The shared prompt prefixes that this router recently sent to each server.
class prefix_history
{
public:
    /// Keeps at most `capacity` prefixes. Once full, evicts the expired ones,
    /// or an arbitrary one if none has expired.
    explicit prefix_history(std::size_t capacity);

    void note(backend_server_id const& server, std::uint64_t prefix,
              instant now);

    /// True if the prefix was sent to `server` within the retention time.
    bool holds(backend_server_id const& server, std::uint64_t prefix,
               instant now) const;

    /// True if the prefix was sent to `server` after `since`.
    bool sent_since(backend_server_id const& server, std::uint64_t prefix,
                    instant since) const;

    /// Removes all prefixes of `server`, which has restarted with empty memory.
    void forget(backend_server_id const& server);

private:
    struct last_use
    {
        backend_server_id server;
        instant at;
    };

    std::size_t capacity;
    std::unordered_map<std::uint64_t, std::vector<last_use>> uses;
};

/// Engine speeds for the estimates of placement. The measured slowness of a
/// server multiplies the estimate (`server::slowness`).
struct engine_speed
{
    /// Prefill rate, from the engines' data sheet.
    double prompt_tokens_per_ms{140.0};
    /// Duration of one batch step with empty memory, and the increase for each
    /// 1,000 tokens of running requests; from the same sheet.
    double step_ms{2.2};
    double step_ms_per_1000_tokens{0.0175};
    /// Batch steps from the end of prefill to the first event. A step makes one
    /// token for each request, so this is the number of tokens in an event.
    double steps_to_first_event{9.0};
    /// Mean tokens in memory of a request from another router, whose size this
    /// router does not know.
    double unknown_request_tokens{4'000.0};
    /// Mean time of one request of a plain service, and the wait for each
    /// request ahead in an engine's queue.
    double plain_request_ms{60.0};
    double queued_request_ms{15.0};

    friend bool operator==(engine_speed const&, engine_speed const&) = default;
};

/// A server's load report is ignored from this age on.
inline constexpr duration report_lifetime{1'000};

/// The expected time in ms until `target` begins its response to `item`.
/// `holds_prefix`: whether the server is assumed to have the shared prefix in
/// memory. Thread safe.
double expected_ms(server const& target, service const& of,
                   placement_request const& item, bool holds_prefix,
                   engine_speed const& speed, instant now);

/// The server chosen for a request, with the expected time until its response
/// begins.
struct placement
{
    backend_server_id server;
    duration expected{};
    bool had_prefix{false};
    /// Percentage of the slots of all candidate servers that are taken.
    std::int64_t fleet_percent{};

    friend bool operator==(placement const&, placement const&) = default;
};

/// The best server for `item` that is usable and not in `avoid`; empty if there
/// is none. A cold server is chosen only if no warm one has a free slot, and
/// within this router's part of its bound.
///
/// Rendezvous hashing gives each shared prefix its own order of servers, the
/// same at every router; the first server is assumed to hold the prefix. The
/// function returns the server with the shortest expected time, plus a small
/// penalty for each rank in that order. A prefix therefore stays at one server
/// while that server is the fastest, and all routers move it to the same second
/// server otherwise. Thread safe.
std::optional<placement>
choose_placement(server_table const& table, service const& of,
                 placement_request const& item, prefix_history const& memory,
                 std::vector<backend_server_id> const& avoid,
                 engine_speed const& speed, instant now);

/// Why no server can take a request, the most lasting reason first.
enum class shortage_reason
{
    no_such_version, ///< and none will come
    outside_regions,
    evacuated,
    unavailable, ///< there are none, or they are set aside or out of reach
    cold,        ///< this router may send them no more now
    resting      ///< they asked this router for a rest
};

struct shortage
{
    shortage_reason why{shortage_reason::unavailable};
    /// Until the first of the cold servers is warm or the first rest ends.
    duration lasts{};

    friend bool operator==(shortage const&, shortage const&) = default;
};

/// Explains that `choose_placement` found no server. Thread safe.
shortage find_shortage(server_table const& table, placement_request const& item,
                       instant now);

/// A hash that is the same in every process. Thread safe.
std::uint64_t stable_hash(std::string_view text);

} // namespace caperpath::fleet

#endif
