#ifndef CAPERPATH_FLEET_CRASH_CAUSE_HPP
#define CAPERPATH_FLEET_CRASH_CAUSE_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/crash_record.hpp>
#include <caperpath/fleet/prompt_part.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

/// Finds the property of requests that crashes the servers which run them.
///
/// A crash ends all requests of a server. Each property of these requests is a
/// suspect, until a request with it gets a complete response. The suspect that
/// is at more crashes than any other is considered their cause, and a crash
/// that has a cause counts against no other suspect. Counting crashes alone
/// would reject properties of requests that are often beside the cause.
///
/// Plain values; functions that depend on time take it as an argument.
namespace caperpath::fleet
{

/// A property that requests share: a part of their prompts, of one customer or
/// of any. Callers state the ids of parts, so a customer may use those of
/// another; the property of the one customer tells their requests apart.
/// Immutable value.
struct crash_trait
{
    prompt_part part{};
    std::uint64_t customer{}; ///< hash of the customer; 0: any customer

    friend auto operator<=>(crash_trait const&, crash_trait const&) = default;
};

using crash_traits = std::set<crash_trait>;

/// The properties of a request with `parts`, of which the first
/// `most_considered_parts` are considered. Thread safe.
crash_traits traits_of(std::vector<prompt_part> const& parts,
                       customer_id const& customer);

/// A crash of one server. Immutable value.
struct server_crash
{
    service_id service;
    std::string version;     ///< of the server's software; empty if unknown
    instant noticed_at;      ///< by this router
    crash_traits suspects{}; ///< of the requests that were open there
    /// Whether it happened before this router followed the crashes, so that its
    /// time is not known.
    bool earlier{false};

    friend bool operator==(server_crash const&, server_crash const&) = default;
};

/// What crashes the servers of a service: requests with all of `traits`. If
/// several properties only ever came together, none of them is known to be the
/// cause by itself. Immutable value.
struct crash_cause
{
    service_id service;
    crash_traits traits;

    friend auto operator<=>(crash_cause const&, crash_cause const&) = default;
};

/// Whether requests with a cause are rejected. Of two states the greater
/// applies, so the order of reports does not matter. Immutable value.
struct cause_state
{
    std::uint64_t lifted{}; ///< complete responses of requests with the cause
    bool rejected{false};   ///< since the last of them

    friend auto operator<=>(cause_state const&, cause_state const&) = default;
};

/// A cause as a router knows it.
struct cause_entry
{
    cause_state state;
    instant noted_at{};

    friend bool operator==(cause_entry const&, cause_entry const&) = default;
};

/// When a request with a property last got a complete response, by service and
/// software version. Bounded; the oldest are forgotten first. Value type.
class sound_traits
{
public:
    void note(service_id const& service, std::string const& version,
              crash_trait const& trait, instant now);

    /// Empty if there was none within the last `crash_lifetime`.
    std::optional<instant> last(service_id const& service,
                                std::string const& version,
                                crash_trait const& trait, instant now) const;

private:
    void make_room(instant now);

    std::unordered_map<std::uint64_t, instant> responses;
};

/// How much speaks against a property. Immutable value.
struct crash_suspicion
{
    std::int64_t score{};   ///< crashes, where those of one moment count once
    std::int64_t crashes{}; ///< all that this router noticed as they happened

    friend auto operator<=>(crash_suspicion const&,
                            crash_suspicion const&) = default;
};

/// The evidence of one router. Value type.
struct crash_investigation
{
    std::map<backend_server_id, server_crash> crashes;
    std::map<crash_cause, cause_entry> causes;
    sound_traits sound;
    /// Of each property with a positive score; see `find_causes`.
    std::map<std::pair<service_id, crash_trait>, crash_suspicion> suspicion;
};

/// Adds what one router knows of a crash: `shared.suspects` of its requests at
/// `server`. Of the first report, the time and the version are kept. If there
/// are more than `most_suspects`, those that are known to be sound are left out
/// first. Returns true if anything was new. Thread safe.
bool note_crash(crash_investigation& all, backend_server_id const& server,
                server_crash const& shared);

/// Records that a server of `version` completed a request with `traits`.
/// Returns the causes that this refutes; they are no longer rejected. Those of
/// `traits` that were on probation are among them as one cause, so that other
/// routers learn that they are sound. Thread safe.
std::vector<crash_cause> note_success(crash_investigation& all,
                                      service_id const& service,
                                      std::string const& version,
                                      crash_traits const& traits, instant now);

/// Decides which suspects are causes and updates `suspicion`. Returns the
/// causes whose state changed. Call after `note_crash`, and again
/// `report_time` later: crashes count towards a cause only from then on. Thread
/// safe.
std::vector<crash_cause> find_causes(crash_investigation& all, instant now);

/// What merging another router's knowledge of a cause led to.
enum class merge_result
{
    known,    ///< nothing new
    accepted, ///< the state was taken over
    refuted   ///< this router knows better: the cause is no longer rejected
};

/// When `find_causes` has to be called next, because the reports of a crash are
/// complete or a cause is confirmed; empty if nothing is due. Thread safe.
std::optional<instant> next_decision(crash_investigation const& all,
                                     instant now);

/// Merges another router's knowledge of a cause. It is refuted if requests with
/// each of its properties got complete responses and the crashes do not
/// outweigh them. Thread safe.
merge_result merge_cause(crash_investigation& all, crash_cause const& cause,
                         cause_state const& state, instant now);

/// Records that an operator removed a cause: the crashes so far count no
/// longer against its properties. Thread safe.
void dismiss_cause(crash_investigation& all, crash_cause const& cause,
                   instant now);

/// How a request may be sent. Thread safe.
crash_verdict judge(crash_investigation const& all, service_id const& service,
                    crash_traits const& traits);

/// The properties of a request for which it is on probation: those at several
/// crashes, even if these happened at one moment. Thread safe.
crash_traits traits_on_probation(crash_investigation const& all,
                                 service_id const& service,
                                 crash_traits const& traits);

/// Of the properties on probation, the one that is at most crashes; of several,
/// the same at all routers with the same evidence. Empty if none is. Thread
/// safe.
std::optional<crash_trait> main_suspect(crash_investigation const& all,
                                        service_id const& service,
                                        crash_traits const& traits);

/// The cause for which a request is rejected; null if it is not. Thread safe.
crash_cause const* cause_of(crash_investigation const& all,
                            service_id const& service,
                            crash_traits const& traits);

/// The servers whose crashes `cause` explains. Thread safe.
std::vector<backend_server_id> explained_crashes(crash_investigation const& all,
                                                 crash_cause const& cause);

/// True if a cause that is rejected explains the crash of `server`. Thread
/// safe.
bool is_explained(crash_investigation const& all,
                  backend_server_id const& server);

/// Removes what is older than its lifetime. Returns the causes. Thread safe.
std::vector<crash_cause> forget_old(crash_investigation& all, instant now);

/// Crashes under a property until requests with it are rejected.
inline constexpr std::int64_t crashes_to_reject = 3;
/// As many more for a property with which requests got complete responses from
/// the same software version: it hardly ever is the cause.
inline constexpr std::int64_t extra_crashes_if_sound = 3;
/// Crashes that follow each other faster count once: a failure domain that
/// loses power ends many servers together.
inline constexpr duration same_moment{100};
/// Within this time the routers whose requests a crash ended report them. A
/// decision without their suspects could find a wrong cause.
inline constexpr duration report_time{80};
/// After a crash of a request on probation no other one is sent for this long:
/// the next crash counts by itself, and all routers know of this one.
inline constexpr duration pause_after_crash = same_moment + report_time;
/// A cause that no router has refuted for this long may lift others.
inline constexpr duration confirmation_time{1'000};
inline constexpr duration crash_lifetime{10 * 60'000};
inline constexpr duration cause_lifetime{8 * 3'600'000};
inline constexpr std::size_t most_crashes = 64;
inline constexpr std::size_t most_considered_parts = 64;
inline constexpr std::size_t most_suspects = 512; ///< of one crash
inline constexpr std::size_t most_causes = 256;
inline constexpr std::size_t most_sound_traits = 32'768;

} // namespace caperpath::fleet

#endif
