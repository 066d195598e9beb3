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

/// Where a request goes: the server that is expected to begin its answer
/// first. Pure functions over plain values.
namespace caperpath::fleet
{

/// What placement needs to know of one request. Immutable value.
struct work
{
    service_id service;
    /// Names the longest prompt part that requests share; 0 if none.
    std::uint64_t shared_part{};
    token_count shared_tokens{}; ///< up to and with that part
    token_count prompt_tokens{}; ///< all of the prompt
    token_count output_tokens{}; ///< at most

    friend bool operator==(work const&, work const&) = default;
};

/// Which shared parts this router has lately sent to which server.
class prompt_memory
{
public:
    /// Remembers at most `capacity` parts and forgets the oldest first.
    explicit prompt_memory(std::size_t capacity);

    void note(backend_server_id const& server, std::uint64_t part, instant now);

    /// True if the part was sent there within `kept_for`.
    bool holds(backend_server_id const& server, std::uint64_t part,
               instant now) const;

    /// The server started anew: its memory is empty.
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

/// How fast engines are, in the figures that placement reckons with. Measured
/// speeds of single servers come on top (`server::slowness`).
struct engine_speed
{
    /// Read rate of prompts, from the engines' data sheet.
    double prompt_tokens_per_ms{140.0};
    /// One step of a batch over an empty memory, and what 1,000 tokens of
    /// running requests add; from the same sheet.
    double step_ms{2.2};
    double step_ms_per_1000_tokens{0.0175};
    /// Steps from the end of reading to the first event: one event's tokens.
    double steps_to_first_event{9.0};
    /// Mean tokens in memory of a request that another router runs and has told
    /// nothing of.
    double unknown_request_tokens{4'000.0};
    /// Mean time of one request of a plain service, and of each request that
    /// waits before it in an engine's queue.
    double plain_request_ms{60.0};
    double queued_request_ms{15.0};

    friend bool operator==(engine_speed const&, engine_speed const&) = default;
};

/// How old a server's own load figure may be to count.
inline constexpr duration report_lifetime{1'000};

/// The time until `one` is expected to begin its answer to `item`, in ms.
/// `holds_prefix` says whether the shared part is believed to be in its memory.
/// Thread safe.
double expected_ms(server const& one, service const& of, work const& item,
                   bool holds_prefix, engine_speed const& speed, instant now);

/// A server for a request, with the reckoned time to the begin of its answer.
struct placement
{
    backend_server_id server;
    duration expected{};
    bool had_prefix{false};
    /// Places of all usable servers that are taken, in hundredths.
    std::int64_t fleet_percent{};

    friend bool operator==(placement const&, placement const&) = default;
};

/// The best server for `item` that is usable and not in `avoid`; nothing if
/// there is none.
///
/// Each shared part has an order of servers of its own, the same at every
/// router (rendezvous hashing), and the first in it is taken to hold the part.
/// One reckons the time at each server and takes the least, with a small
/// charge for each place in that order: so a part stays at one server while
/// that serves it soonest, and moves to the same second one for all routers
/// when it does not. Thread safe.
std::optional<placement> place(server_table const& table, service const& of,
                               work const& item, prompt_memory const& memory,
                               std::vector<backend_server_id> const& avoid,
                               engine_speed const& speed, instant now);

/// A number for a name that is the same in every process. Thread safe.
std::uint64_t stable_hash(std::string_view text);

} // namespace caperpath::fleet

#endif
