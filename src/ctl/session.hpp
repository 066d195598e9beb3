#ifndef CAPERPATH_SRC_CTL_SESSION_HPP
#define CAPERPATH_SRC_CTL_SESSION_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/config/json_reader.hpp>
#include <caperpath/config/store.hpp>
#include <caperpath/store/table.hpp>

#include <nlohmann/json.hpp>

#include <functional>
#include <iosfwd>
#include <string>
#include <vector>

namespace caperpath::ctl
{

/// Exit codes of `caperpathctl`; documented for scripts.
enum exit_code
{
    exit_ok = 0,
    exit_failed = 1,
    exit_invalid = 2, ///< usage, settings or content; a retry fails too
    exit_conflict = 3,
    exit_unknown = 4, ///< it may have taken effect
    exit_unavailable = 5
};

/// The response of a router or an engine. Immutable value.
struct http_response
{
    int status{};
    std::string body;

    friend bool operator==(http_response const&,
                           http_response const&) = default;
};

/// Sends one request: a GET if the body is empty, else a POST of JSON. Fails
/// with `unavailable` if the request provably did not arrive, and with
/// `timeout` if it may have.
using http_call = std::function<result<http_response>(
    std::string const& address, std::string const& path,
    std::string const& body)>;

/// The state of one run of the tool. Not thread safe.
struct session
{
    std::ostream& out;
    std::ostream& err;
    std::function<store::port(std::string const& address)> connect;
    http_call call;
    std::function<std::string(std::size_t)> random_bytes;
    clock wall;
    std::function<void(duration)> pause;

    bool json{false};
    std::string settings_file{};
    std::string platform_address{};
    std::string author{};
    int code{exit_ok};
    store::port port{}; ///< set before a verb runs
};

/// Prints the result of a verb: the JSON in one line, or the rows as a table
/// whose first row is the header.
void print(session& run, nlohmann::json const& value,
           std::vector<std::vector<std::string>> const& table);

/// Prints an error with its step, its peer and advice, and returns the exit
/// code. `wrote` is true if the verb may have had an effect.
int print_error(session& run, error const& problem, bool wrote,
                std::string const& advice = "");

/// Prints each fault with its path; returns `exit_invalid`.
int print_faults(session& run, std::vector<config::fault> const& faults);

/// Prints the result of a patch and returns the exit code.
int print_patch(session& run, config::patch_result const& outcome,
                std::string const& id, nlohmann::json extra = nlohmann::json{});

/// Returns a random id for a patch to which the operator gave none.
std::string fresh_id(session& run);

/// Reads a JSON file; adds faults if it cannot be read or parsed.
nlohmann::json read_file(std::string const& file,
                         std::vector<config::fault>& faults);

} // namespace caperpath::ctl

#endif
