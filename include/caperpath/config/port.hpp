#ifndef CAPERPATH_CONFIG_PORT_HPP
#define CAPERPATH_CONFIG_PORT_HPP

#include <caperpath/config/document.hpp>

#include <functional>
#include <memory>

namespace caperpath::config
{

/// Access to the configuration for the request filters. A struct of functions:
/// the controller creates one, and tests create one over a plain document.
struct port
{
    /// Returns the version in force, or null while this router cannot exclude
    /// that a newer version is already in force elsewhere. Call it once per
    /// request and keep the pointer until the request ends. Never blocks on the
    /// network; thread safe.
    std::function<std::shared_ptr<document const>()> current;
};

} // namespace caperpath::config

#endif
