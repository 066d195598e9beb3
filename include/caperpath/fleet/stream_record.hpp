#ifndef CAPERPATH_FLEET_STREAM_RECORD_HPP
#define CAPERPATH_FLEET_STREAM_RECORD_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/stream_version.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

/// What the store keeps about the software versions of streams, so that streams
/// can be resumed after all routers were killed at once: for each service the
/// versions that open streams may have, and for each router its open streams
/// while there are several. Plain values; functions that depend on time take it
/// as an argument.
namespace caperpath::fleet
{

/// A caller may come back this long after its request's deadline.
inline constexpr duration resumption_slack{2'000};

/// Bounds the row; the streams that end last are kept.
inline constexpr std::size_t max_row_streams = 4'000;

/// The streams of one router that callers may still resume. Not thread safe.
class stream_records
{
public:
    /// Records that a request for the stream is sent to a server. Its caller
    /// waits until `deadline`.
    void begin(stream_key stream, stream_source const& source,
               instant deadline);

    /// Takes a record back, for a request that did not run. Returns false, and
    /// keeps it, if a row with the record may have been written: the stream may
    /// then begin at this version only.
    bool retract(stream_key stream);

    /// Records that the whole stream was sent to its caller.
    void end(stream_key stream);

    /// Records that the version of the stream is not certain, whatever is
    /// recorded later.
    void invalidate(stream_key stream, instant deadline);

    /// The same for all streams whose versions are not certain by `history`.
    void invalidate_uncertain(version_history const& history, instant now);

    /// Adds the records of the router that ran here before.
    void inherit(streams_by_source const& streams, instant now);

    /// The version of a stream that may be in a written row.
    std::optional<std::string> written_version(stream_key stream) const;

    /// True if the row differs from the one that was taken last.
    bool has_changed() const;

    /// The row to write now. Its streams count as written from here on.
    streams_by_source take_row(instant now);

    /// Records that the row that was taken last may not have been written.
    void note_lost_row();

private:
    struct record
    {
        stream_sources sources;
        instant until;
        bool written{false};
        bool uncertain{false};
    };

    void make_uncertain(record& known);

    std::unordered_map<stream_key, record> records;
    bool changed{false};
};

/// How long a router waits between two writes of its row: all routers together
/// use a part of the store's `writes_per_s` only. Thread safe. @pre
/// `writes_per_s` is positive.
duration record_interval(std::int64_t routers, std::int64_t writes_per_s);

/// How long a router waits between two reads of all rows. Thread safe.
duration record_read_interval(std::int64_t routers);

/// The versions of a service that streams may have begun at, as its row says.
/// Value type.
struct version_set
{
    std::set<std::string> versions;
    std::uint64_t row_version{}; ///< of the row; 0: there is none

    friend bool operator==(version_set const&, version_set const&) = default;
};

/// A router sends no new stream to a version that it has not seen for this long
/// in a list that was up to date, until it has read the row again: another
/// router may have removed the version. Shorter than `stream_lifetime`, after
/// which that is done.
inline constexpr duration confirmation_lifetime{45'000};

/// The versions of the row that may be removed from it: this router has known
/// the list of servers for `stream_lifetime` and has not seen them in it. A
/// last version is never removed. Thread safe.
std::set<std::string> removable_versions(version_set const& row,
                                         version_history const& history,
                                         service_id const& service,
                                         instant now);

} // namespace caperpath::fleet

#endif
