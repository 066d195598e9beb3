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

/// One fault of a document, named by its JSON path. Immutable value.
struct fault
{
    std::string path;   ///< for example "/customers/taller/budget"
    std::string detail; ///< what is wrong and what was expected, with its unit

    friend bool operator==(fault const&, fault const&) = default;
};

/// Reads one JSON object member by member and collects every fault instead of
/// stopping at the first. Members never asked for are unknown: `finish` names
/// the nearest known one. Not thread safe; use one reader on one thread.
class json_reader
{
public:
    /// @pre `value` and `faults` outlive the reader.
    json_reader(nlohmann::json const& value, std::string path,
                std::vector<fault>& faults);

    /// Text; a fault if missing and `fallback` is null. @pre none.
    std::string text(std::string_view key, char const* fallback = nullptr);

    /// A whole number in [least, most]; `unit` is named in a fault.
    std::int64_t whole(std::string_view key, std::string_view unit,
                       std::int64_t least, std::int64_t most);

    /// As `whole`, with a value for a missing member.
    std::int64_t whole_or(std::string_view key, std::string_view unit,
                          std::int64_t least, std::int64_t most,
                          std::int64_t fallback);

    /// A number in [least, most], also with a fraction, or `fallback` for a
    /// missing member; `unit` is named in a fault.
    double real_or(std::string_view key, std::string_view unit, double least,
                   double most, double fallback);

    bool boolean_or(std::string_view key, bool fallback);

    /// "IP:port" with a numeric IPv4 address; a fault otherwise.
    std::string address(std::string_view key);

    /// As `address`, but port 0 is allowed and means any free port.
    std::string listen_address(std::string_view key);

    /// Calls `read` for each member of the object `key`; nothing if missing.
    void each_member(
        std::string_view key,
        std::function<void(std::string const& name, nlohmann::json const& value,
                           std::string const& path)> const& read);

    /// Calls `read` for each element of the array `key`; nothing if missing.
    void each_element(std::string_view key,
                      std::function<void(nlohmann::json const& value,
                                         std::string const& path)> const& read);

    /// Adds a fault at member `key`.
    void reject(std::string_view key, std::string detail);

    /// True when the member is there.
    bool has(std::string_view key);

    /// Call last: adds a fault for every member nobody asked for.
    void finish();

private:
    nlohmann::json const* find(std::string_view key);
    std::string path_of(std::string_view key) const;

    nlohmann::json const& value;
    std::string path;
    std::vector<fault>& faults;
    std::vector<std::string> known;
};

/// The member of `known` with the smallest edit distance to `word`, or empty
/// when none is near (more than half of the word differs). Thread safe.
std::string nearest_name(std::string const& word,
                         std::vector<std::string> const& known);

/// True for "a.b.c.d:port" with numbers in range. Thread safe.
bool is_address(std::string const& text);

/// As `is_address`, or with port 0. Thread safe.
bool is_listen_address(std::string const& text);

} // namespace caperpath::config

#endif
