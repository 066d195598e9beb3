#ifndef CAPERPATH_SRC_CONFIG_SUBMIT_HPP
#define CAPERPATH_SRC_CONFIG_SUBMIT_HPP

#include <caperpath/config/store.hpp>

#include "config/store_rows.hpp"

#include <string>
#include <vector>

namespace caperpath::config
{

/// Most attempts of a write whose response is lost or that the platform
/// rejects.
inline constexpr int write_attempts = 5;

/// A version that has been checked but not yet committed.
struct prepared_version
{
    version_pointer base;
    document content;
    std::string text;
    std::string object;
    std::string digest;

    std::uint64_t version() const
    {
        return this->content.version;
    }
};

/// Returns the digest that distinguishes a retry from another patch with the
/// same id. It does not cover the base: a repeated command may by then read a
/// newer version.
std::string digest_of(patch_request const& request);

patch_result unavailable(error problem);
patch_result invalid(std::vector<fault> faults);

/// Returns the result for a patch whose id was accepted before.
patch_result repeated(patch_request const& request,
                      patch_record const& earlier);

/// Returns the canonical JSON of a version, or of an empty document for version
/// 0.
result<nlohmann::json> load_json(store::port const& port,
                                 std::uint64_t version);

/// Returns the conflict result of a request whose base is not `current`, the
/// version in force.
patch_result conflict(store::port const& port, patch_request const& request,
                      version_pointer const& current);

/// Writes the pointer, the record, the patch id and the name in one
/// transaction.
/// @pre the object of `next` is in the store.
patch_result commit_version(store::port const& port,
                            patch_request const& request,
                            prepared_version const& next);

} // namespace caperpath::config

#endif
