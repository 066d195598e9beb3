#ifndef CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CAUSE_ROWS_HPP
#define CAPERPATH_SRC_GATEWAY_CRASHES_CRASH_CAUSE_ROWS_HPP

#include <caperpath/fleet/crash_cause.hpp>

#include <cstddef>
#include <optional>
#include <string>

/// Keys and values of the rows about causes of crashes. They are in the table
/// and the range of `crash_rows.hpp`; a router that does not know them ignores
/// them. Thread safe.
namespace caperpath::gateway
{

/// The suspects that one router knows of a crash.
struct crash_report
{
    backend_server_id server;
    fleet::server_crash crash; ///< `noticed_at` is not part of the row

    friend bool operator==(crash_report const&, crash_report const&) = default;
};

/// A row per crash and router, so that the routers whose requests a crash
/// ended write without conflicts. `router` differs between routers.
std::string report_key(backend_server_id const& server, std::size_t router);
bool is_report_key(std::string const& key);

std::string encode_report(crash_report const& report);

/// Returns nothing if `text` is not in the format of this version.
std::optional<crash_report> decode_report(std::string const& text);

struct cause_report
{
    fleet::crash_cause cause;
    fleet::cause_state state;

    friend bool operator==(cause_report const&, cause_report const&) = default;
};

/// A short id of the cause, for keys and logs.
std::string cause_id(fleet::crash_cause const& cause);

std::string cause_key(fleet::crash_cause const& cause);
bool is_cause_key(std::string const& key);

std::string encode_cause(cause_report const& report);

/// Returns nothing if `text` is not in the format of this version.
std::optional<cause_report> decode_cause(std::string const& text);

/// The properties as the rows and the log show them: the part's id, and the
/// hash of the customer if it is of one only.
std::string to_text(fleet::crash_traits const& traits);

} // namespace caperpath::gateway

#endif
