#ifndef CAPERPATH_CONFIG_CONFIGURATION_STATE_HPP
#define CAPERPATH_CONFIG_CONFIGURATION_STATE_HPP

#include <caperpath/config/document.hpp>

#include <cstdint>
#include <memory>

namespace caperpath::config
{

/// What one router knows of the configuration. Immutable value; the functions
/// below return the next one. The version of `newest` never decreases.
struct view
{
    std::shared_ptr<document const> newest; ///< may be null
    std::uint64_t store_version{}; ///< highest that the store reported; 0: none
    bool confirmed{}; ///< `newest` once reached `store_version`; stays true

    friend bool operator==(view const&, view const&) = default;
};

/// Returns the view after the store reported `version` as the one in force.
/// Thread safe.
view with_store_version(view const& before, std::uint64_t version);

/// Returns the view after a document was loaded from the store or received from
/// a peer. A document that is not newer changes nothing. Thread safe. @pre
/// `offered` is not null.
view with_document(view const& before,
                   std::shared_ptr<document const> const& offered);

/// Returns the document to serve, or null. Thread safe.
std::shared_ptr<document const> in_force(view const& source);

/// Returns by how many versions the view is behind the store. Thread safe.
std::uint64_t lag(view const& source);

} // namespace caperpath::config

#endif
