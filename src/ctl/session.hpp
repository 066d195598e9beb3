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

/// What `caperpathctl` ends with; documented for scripts.
enum exit_code
{
    exit_ok = 0,
    exit_failed = 1,
    exit_invalid = 2, ///< usage, settings or content; a repeat fails too
    exit_conflict = 3,
    exit_unknown = 4, ///< it may have taken effect
    exit_unavailable = 5
};

/// The answer of a router or an engine. Immutable value.
struct http_answer
{
    int status{};
    std::string body;

    friend bool operator==(http_answer const&, http_answer const&) = default;
};

/// Sends one request; an empty body is a GET, else a POST of JSON. Error
/// `unavailable` when it provably did not arrive, `timeout` when it may have.
using http_call = std::function<result<http_answer>(std::string const& address,
                                                    std::string const& path,
                                                    std::string const& body)>;

/// What one run of the tool works with. Not thread safe.
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

/// Prints what a verb found: the JSON in one line, or the rows as a table with
/// the first row as its head.
void print(session& run, nlohmann::json const& value,
           std::vector<std::vector<std::string>> const& table);

/// Prints an error with its step and peer and what to do, and gives the exit
/// code. `wrote` is true when the verb may have had an effect.
int print_error(session& run, error const& problem, bool wrote,
                std::string const& advice = "");

/// Prints each fault by its path; gives `exit_invalid`.
int print_faults(session& run, std::vector<config::fault> const& faults);

/// Prints what became of a patch and gives the exit code.
int print_patch(session& run, config::patch_result const& outcome,
                std::string const& id, nlohmann::json extra = nlohmann::json{});

/// A fresh id for a patch that the operator gave none.
std::string fresh_id(session& run);

/// Reads and checks a file of JSON; faults are added.
nlohmann::json read_file(std::string const& file,
                         std::vector<config::fault>& faults);

} // namespace caperpath::ctl

#endif
