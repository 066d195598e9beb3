#ifndef CAPERPATH_SRC_CONFIG_STORE_ROWS_HPP
#define CAPERPATH_SRC_CONFIG_STORE_ROWS_HPP

#include <caperpath/config/store.hpp>

#include <optional>
#include <string>
#include <vector>

namespace caperpath::config
{

inline constexpr auto current_key = "config/current";
inline constexpr auto version_prefix = "config/version/";

/// Returns the key of a version's record. The number is zero-padded so that a
/// scan returns the records in order.
std::string version_key(std::uint64_t version);
std::string patch_key(std::string const& id);
std::string name_key(std::string const& name);

/// The row of an accepted patch id.
struct patch_record
{
    std::uint64_t version{};
    std::string digest; ///< of the patch; detects an id used for two patches

    friend bool operator==(patch_record const&, patch_record const&) = default;
};

std::string write_pointer(version_pointer const& source);
std::string write_record(version_record const& source);
std::string write_patch_record(patch_record const& source);
std::string write_named(std::uint64_t version);

/// Each returns nothing if the row's value does not have the expected form.
std::optional<version_pointer> read_pointer(store::row const& source);
std::optional<version_record> read_record(store::row const& source);
std::optional<patch_record> read_patch_record(store::row const& source);
std::optional<std::uint64_t> read_named(store::row const& source);

/// Returns the row `key` among `rows`, or null.
store::row const* find_row(std::vector<store::row> const& rows,
                           std::string const& key);

/// Calls `port.read` with a few retries; fails with the error of the last
/// attempt.
result<std::vector<store::row>> read_rows(store::port const& port,
                                          std::vector<std::string> const& keys);

} // namespace caperpath::config

#endif
