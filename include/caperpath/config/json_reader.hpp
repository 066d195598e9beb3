#ifndef CAPERPATH_CONFIG_JSON_READER_HPP
#define CAPERPATH_CONFIG_JSON_READER_HPP

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::config
{

/// One fault of a document, located by its JSON path. Immutable value.
struct fault
{
    std::string path;   ///< for example "/customers/taller/budget"
    std::string detail; ///< what is wrong and what was expected, with its unit

    friend bool operator==(fault const&, fault const&) = default;
};

/// Reads one JSON object member by member and collects every fault instead of
/// stopping at the first. `finish` reports members that were never read as
/// unknown and names the nearest known one. Not thread safe; use one reader on
/// one thread.
class json_reader
{
public:
    /// @pre `value` and `faults` outlive the reader.
    json_reader(nlohmann::json const& value, std::string path,
                std::vector<fault>& faults);

    /// Returns a text member; adds a fault if it is missing and `fallback` is
    /// null.
    std::string text(std::string_view key, char const* fallback = nullptr);

    /// Returns an integer in [least, most]; a fault names its `unit`.
    std::int64_t integer(std::string_view key, std::string_view unit,
                         std::int64_t least, std::int64_t most);

    /// As `integer`, but returns `fallback` for a missing member.
    std::int64_t integer_or(std::string_view key, std::string_view unit,
                            std::int64_t least, std::int64_t most,
                            std::int64_t fallback);

    /// Returns a number in [least, most], which may have a fraction, or
    /// `fallback` for a missing member; a fault names its `unit`.
    double number_or(std::string_view key, std::string_view unit, double least,
                     double most, double fallback);

    bool boolean_or(std::string_view key, bool fallback);

    /// Returns "IP:port" with a numeric IPv4 address; adds a fault otherwise.
    std::string address(std::string_view key);

    /// As `address`, but also allows port 0, which means any free port.
    std::string listen_address(std::string_view key);

    /// Calls `read` for each member of the object `key`; does nothing if it is
    /// missing.
    void each_member(
        std::string_view key,
        std::function<void(std::string const& name, nlohmann::json const& value,
                           std::string const& path)> const& read);

    /// Calls `read` for each element of the array `key`; does nothing if it is
    /// missing.
    void each_element(std::string_view key,
                      std::function<void(nlohmann::json const& value,
                                         std::string const& path)> const& read);

    /// Adds a fault at member `key`.
    void reject(std::string_view key, std::string detail);

    /// True if the member exists.
    bool has(std::string_view key);

    /// Adds a fault for every member that was never read. Call it last.
    void finish();

private:
    nlohmann::json const* find(std::string_view key);
    std::string path_of(std::string_view key) const;

    nlohmann::json const& value;
    std::string path;
    std::vector<fault>& faults;
    std::vector<std::string> known;
};

/// Returns the member of `known` with the smallest edit distance to `word`, or
/// an empty string if more than half of the word differs from each. Thread
/// safe.
std::string nearest_name(std::string const& word,
                         std::vector<std::string> const& known);

/// True if `text` is "a.b.c.d:port" with numbers in range. Thread safe.
bool is_address(std::string const& text);

/// As `is_address`, but also allows port 0. Thread safe.
bool is_listen_address(std::string const& text);

} // namespace caperpath::config

#endif
