#ifndef CAPERPATH_FLEET_CRASH_RECORD_HPP
#define CAPERPATH_FLEET_CRASH_RECORD_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/fleet/fingerprint.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

/// Records which requests crash the servers that run them.
///
/// A crash ends all requests of a server, and one of them may be its cause. A
/// request is considered the cause if it was present at several crashes, each
/// time sent after the previous crash was known. Simultaneous crashes of
/// several servers (a failure domain that lost power) count once, but a request
/// that was at several of them is on probation. A complete response clears a
/// request.
///
/// Routers exchange evidence and merge it, so the order of reports does not
/// matter.
namespace caperpath::fleet
{

/// Evidence against one request. Immutable value.
struct crash_evidence
{
    std::uint64_t cleared{}; ///< complete responses after a crash
    std::int64_t crashes{};  ///< consecutive crashes since then
    /// Hashes of the server processes that crashed since then, some of them
    /// perhaps in one moment; at most `most_crashed_processes`.
    std::set<std::uint64_t> processes{};

    friend bool operator==(crash_evidence const&,
                           crash_evidence const&) = default;
};

/// What two routers know together. The one with more complete responses applies
/// alone, so that a response outranks the crashes before it. Commutative and
/// associative. Thread safe.
crash_evidence merge(crash_evidence const& a, crash_evidence const& b);

/// How a request may be sent.
enum class crash_verdict
{
    clear,        ///< no evidence against it
    suspected,    ///< present at one crash: it may be retried
    on_probation, ///< present at two, perhaps of one moment: sent once for each
                  ///< caller's attempt, and only one at a time in the fleet
    quarantined   ///< crashes servers: not sent
};

/// Thread safe.
crash_verdict judge(crash_evidence const& evidence);

/// The entry of a request that was present at a crash.
struct crash_entry
{
    crash_evidence evidence;
    instant noted_at{};

    friend bool operator==(crash_entry const&, crash_entry const&) = default;
};

/// All entries; at most `most_crash_entries`. Value type.
struct crash_record
{
    std::map<fingerprint, crash_entry> entries;

    friend bool operator==(crash_record const&, crash_record const&) = default;
};

/// Thread safe.
crash_evidence evidence_of(crash_record const& record,
                           fingerprint const& request);

/// Records a crash of the server process with the hash `process` that was
/// running `request`. `known` is the evidence at the time the request was sent,
/// to which one crash is added: simultaneous crashes of several servers begin
/// with the same evidence and so count once. Returns the evidence now. Thread
/// safe.
crash_evidence note_crash(crash_record& record, fingerprint const& request,
                          crash_evidence const& known, std::uint64_t process,
                          instant now);

/// Records a complete response. Returns true if it cleared the request. Thread
/// safe.
bool note_response(crash_record& record, fingerprint const& request,
                   instant now);

/// Merges another router's evidence. Returns true if it was new. Thread safe.
bool merge_evidence(crash_record& record, fingerprint const& request,
                    crash_evidence const& reported, instant now);

/// Removes the entries that were not renewed within their lifetime and returns
/// their requests. Thread safe.
std::vector<fingerprint> forget_old(crash_record& record, instant now);

/// The remaining quarantine of `request`; 0 if it is not quarantined. Thread
/// safe.
duration quarantine_left(crash_record const& record, fingerprint const& request,
                         instant now);

inline constexpr std::int64_t crashes_to_probation = 2;
inline constexpr std::int64_t crashes_to_quarantine = 3;
/// More change no verdict.
inline constexpr std::size_t most_crashed_processes = 4;
inline constexpr std::size_t most_crash_entries = 4'096;
/// Lifetime of an entry that is not quarantined. It applies to cleared requests
/// as well, since an older report may still arrive.
inline constexpr duration suspicion_time{10 * 60'000};
inline constexpr duration quarantine_time{8 * 3'600'000};

} // namespace caperpath::fleet

#endif
