#ifndef CAPERPATH_CONFIG_CONFIGURATION_STATE_HPP
#define CAPERPATH_CONFIG_CONFIGURATION_STATE_HPP

#include <caperpath/config/document.hpp>

#include <cstdint>
#include <memory>

namespace caperpath::config
{

/// What one router knows of the configuration. Immutable value; the functions
/// below return the next one. The version of `newest` never decreases.
struct configuration_state
{
    std::shared_ptr<document const> newest; ///< may be null
    std::uint64_t store_version{}; ///< highest that the store reported; 0: none
    bool confirmed{}; ///< `newest` once reached `store_version`; stays true

    friend bool operator==(configuration_state const&,
                           configuration_state const&) = default;
};

/// Returns the view after the store reported `version` as the one in force.
/// Thread safe.
configuration_state with_store_version(configuration_state const& before,
                                       std::uint64_t version);

/// Returns the view after a document was loaded from the store or received from
/// a peer. A document that is not newer changes nothing. Thread safe. @pre
/// `offered` is not null.
configuration_state
with_document(configuration_state const& before,
              std::shared_ptr<document const> const& offered);

/// Returns the document to serve, or null. Thread safe.
std::shared_ptr<document const>
document_in_force(configuration_state const& source);

/// Returns by how many versions the view is behind the store. Thread safe.
std::uint64_t version_lag(configuration_state const& source);

} // namespace caperpath::config

#endif
