#ifndef CAPERPATH_FLEET_STREAM_VERSION_HPP
#define CAPERPATH_FLEET_STREAM_VERSION_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/server_table.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

/// Which software version of a service began a stream. What two versions
/// generate does not fit together, and servers do not check it, so a stream may
/// go on only at the version that began it. Plain values; functions that depend
/// on time take it as an argument.
namespace caperpath::fleet
{

/// Identifies a stream: a hash of its customer and of the caller's attempt that
/// brought its first event.
using stream_key = std::uint64_t;

/// Thread safe.
stream_key stream_key_of(customer_id const& customer,
                         std::string_view first_attempt);

/// Identifies a server: a hash of its id.
using server_key = std::uint64_t;

/// Thread safe.
server_key server_key_of(backend_server_id const& id);

/// A server that a stream was sent to, and the version that its entry named
/// then. The entry of a server that has started again under its id may still
/// name the version before. Immutable value.
struct stream_source
{
    std::string version; ///< empty if it is not certain
    server_key server{};

    friend auto operator<=>(stream_source const&,
                            stream_source const&) = default;
};

/// A stream that went on at further servers is in the list of each.
using streams_by_source = std::map<stream_source, std::vector<stream_key>>;

/// The version of a stream, and all servers that may have sent events of it.
/// Value type.
struct stream_sources
{
    std::string version; ///< empty if it is not certain
    std::vector<server_key> servers;

    friend bool operator==(stream_sources const&,
                           stream_sources const&) = default;
};

/// Adds a server. Returns false if it was there. Thread safe.
bool add_server(stream_sources& sources, server_key server);

/// Longer than a stream and its caller's further attempts last.
inline constexpr duration stream_lifetime{60'000};
/// Bounds the memory; the oldest streams are forgotten first.
inline constexpr std::size_t max_known_streams = 100'000;

/// The versions of recent streams. Not thread safe.
class stream_versions
{
public:
    /// Records that a server began or continued the stream. Conflicting
    /// versions make the version unknown.
    void note(stream_key stream, stream_source const& source, instant now);

    /// The version of the stream and its servers; empty if it is not known.
    std::optional<stream_sources> find(stream_key stream, instant now) const;

    /// True if there are conflicting records of the stream.
    bool is_uncertain(stream_key stream, instant now) const;

    /// Removes a stream that ended.
    void forget(stream_key stream);

    /// The streams with a known version.
    streams_by_source all(instant now) const;

private:
    struct record
    {
        stream_sources sources; ///< no version after conflicting records
        instant noted_at;
    };

    struct note_time
    {
        stream_key stream;
        instant at;
    };

    void forget_old(instant now);

    std::unordered_map<stream_key, record> records;
    std::deque<note_time> order; ///< oldest first; may name forgotten streams
};

/// The versions that the entry of one server has named. Value type.
struct entry_versions
{
    std::string latest;
    instant seen_at;
    /// When it named another one instead.
    std::map<std::string, instant> left_at;

    friend bool operator==(entry_versions const&,
                           entry_versions const&) = default;
};

/// The software versions of each service and server that this router has seen.
/// Value type.
struct version_history
{
    /// From here on, the list of servers has been up to date.
    std::optional<instant> current_since;
    std::map<service_id, std::map<std::string, instant>> last_seen;
    std::map<server_key, entry_versions> servers;

    friend bool operator==(version_history const&,
                           version_history const&) = default;
};

/// Records the versions of all servers in `table`. While the list cannot be
/// read the history starts anew. Thread safe.
version_history note_versions(version_history history,
                              server_table const& table, instant now);

/// Records the version of one server. Thread safe.
version_history note_version(version_history history, server_entry const& entry,
                             instant now);

/// The version of all servers that the service has had for `stream_lifetime`;
/// empty if there were several, or if the history is shorter. A stream that can
/// still be resumed began at this version. Thread safe.
std::optional<std::string> only_version(version_history const& history,
                                        service_id const& service, instant now);

/// False if a server of the stream was seen with another version after it had
/// this one: its process may have had the other one when it sent events of the
/// stream. Thread safe.
bool is_certain(version_history const& history, stream_sources const& sources,
                instant now);

/// What another router knows of a stream. Immutable value.
struct stream_report
{
    stream_sources sources;   ///< of the stream; no version if unknown
    std::string only_version; ///< of the service; empty if there are several
    bool uncertain{false};    ///< what it knows of the stream proves nothing

    friend bool operator==(stream_report const&,
                           stream_report const&) = default;
};

/// The version at which a stream must go on, from the reports of routers; empty
/// if it is not known. Reports of the stream itself come first; reports that
/// contradict each other or `history` prove nothing. Thread safe.
std::optional<std::string>
version_to_resume(std::vector<stream_report> const& reports,
                  version_history const& history, instant now);

/// True if enough of the `asked` routers replied that their reports count
/// without a row of the store: with the one that asks they are a majority.
/// Fewer may all be cut off from a version that the others have seen. Thread
/// safe.
bool is_majority(std::size_t replied, std::size_t asked);

/// At most `most` of `routers` that keep the versions of `stream`, the same at
/// each router that knows the same others. Thread safe.
std::vector<std::string> keepers_of(stream_key stream,
                                    std::vector<std::string> const& routers,
                                    std::size_t most);

} // namespace caperpath::fleet

#endif
