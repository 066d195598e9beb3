#ifndef CAPERPATH_CONFIG_PORT_HPP
#define CAPERPATH_CONFIG_PORT_HPP

#include <caperpath/config/document.hpp>

#include <functional>
#include <memory>

namespace caperpath::config
{

/// What the request filters know of the configuration. A struct of functions:
/// the controller makes one, tests make one over a plain document.
struct port
{
    /// The version in force, or null while this router cannot tell that what it
    /// holds isn't older than a version already in force elsewhere. Call it
    /// once a request and keep the pointer to the request's end. Never blocks
    /// on the network; thread safe.
    std::function<std::shared_ptr<document const>()> current;
};

} // namespace caperpath::config

#endif
