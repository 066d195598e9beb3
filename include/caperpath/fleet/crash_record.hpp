#ifndef CAPERPATH_FLEET_CRASH_RECORD_HPP
#define CAPERPATH_FLEET_CRASH_RECORD_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/fingerprint.hpp>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// Which requests crash the servers that run them.
///
/// A crash ends all requests of a server, and one of them may be its cause. A
/// request that was at one crash after the other, each time sent again in
/// knowledge of the crash before, is held to be the cause. Crashes that several
/// servers have at the same moment (a failure domain that lost power) count
/// once. A whole answer clears a request.
///
/// Routers share what they know by writing it down and taking the greater of
/// two: the order in which they hear of it does not matter.
namespace caperpath::fleet
{

/// What is known of one request. Immutable value; the greater of two holds.
struct crash_evidence
{
    std::uint64_t cleared{}; ///< times it was answered after a crash
    std::int64_t crashes{};  ///< one after the other since then

    friend auto operator<=>(crash_evidence const&,
                            crash_evidence const&) = default;
};

/// What may be done with a request.
enum class crash_verdict
{
    clear,        ///< nothing is known against it
    suspected,    ///< was at one crash: it may be repeated
    on_probation, ///< was at two: sent once for each caller's attempt, and
                  ///< alone
    quarantined   ///< crashes servers: not sent
};

/// Thread safe.
crash_verdict judge(crash_evidence const& of);

/// One request that was at a crash.
struct crash_entry
{
    crash_evidence evidence;
    instant noted_at{};

    friend bool operator==(crash_entry const&, crash_entry const&) = default;
};

/// All of them, bounded by `most_crash_entries`. Value type.
struct crash_record
{
    std::map<fingerprint, crash_entry> entries;

    friend bool operator==(crash_record const&, crash_record const&) = default;
};

/// Thread safe.
crash_evidence evidence_of(crash_record const& in, fingerprint const& request);

/// A server crashed while it had `request`, which was sent to it when `known`
/// was known of it. Returns what is known now. Thread safe.
crash_evidence note_crash(crash_record& in, fingerprint const& request,
                          crash_evidence const& known, instant now);

/// A whole answer came. Returns true when that cleared it. Thread safe.
bool note_answer(crash_record& in, fingerprint const& request, instant now);

/// Another router's evidence. Returns true if it was new. Thread safe.
bool merge_evidence(crash_record& in, fingerprint const& request,
                    crash_evidence const& told, instant now);

/// Removes what was not confirmed for its lifetime and returns it. Thread safe.
std::vector<fingerprint> forget_old(crash_record& in, instant now);

/// What is left of the time for which nothing is sent. Thread safe.
duration quarantine_left(crash_record const& in, fingerprint const& request,
                         instant now);

inline constexpr std::int64_t crashes_to_probation = 2;
inline constexpr std::int64_t crashes_to_quarantine = 3;
inline constexpr std::size_t most_crash_entries = 4'096;
/// Also of what was cleared: an older report may still be on its way.
inline constexpr duration suspicion_time{10 * 60'000};
inline constexpr duration quarantine_time{8 * 3'600'000};

} // namespace caperpath::fleet

#endif
