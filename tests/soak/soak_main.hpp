#ifndef CAPERPATH_TESTS_SOAK_SOAK_MAIN_HPP
#define CAPERPATH_TESTS_SOAK_SOAK_MAIN_HPP

#include "soak/soak_site.hpp"

#include <string>

namespace caperpath::soak
{

/// Runs a soak with the options of the command line on top of `options`.
/// Returns the exit code: 1 if a guarantee was violated.
int run_soak(int argc, char** argv, std::string const& description,
             soak_options options);

} // namespace caperpath::soak

#endif
