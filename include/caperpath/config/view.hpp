#ifndef CAPERPATH_CONFIG_VIEW_HPP
#define CAPERPATH_CONFIG_VIEW_HPP

#include <caperpath/config/document.hpp>

#include <cstdint>
#include <memory>

namespace caperpath::config
{

/// What one router knows of the configuration. Immutable value; the functions
/// below give the next one. `newest` never gets a smaller version.
struct view
{
    std::shared_ptr<document const> newest; ///< may be null
    std::uint64_t store_version{}; ///< the highest the store has named; 0: none
    bool confirmed{}; ///< has held once what the store named; stays true

    friend bool operator==(view const&, view const&) = default;
};

/// The store has named `version` as the one in force. Thread safe.
view with_store_version(view const& before, std::uint64_t version);

/// A document was loaded from the store or sent by a peer. An older one than
/// the view holds changes nothing. Thread safe. @pre `offered` is not null.
view with_document(view const& before,
                   std::shared_ptr<document const> const& offered);

/// The document to serve, or null. Thread safe.
std::shared_ptr<document const> in_force(view const& source);

/// How many versions the view is behind what the store has named. Thread safe.
std::uint64_t lag(view const& source);

} // namespace caperpath::config

#endif
