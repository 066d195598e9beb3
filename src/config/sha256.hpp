#ifndef CAPERPATH_SRC_CONFIG_SHA256_HPP
#define CAPERPATH_SRC_CONFIG_SHA256_HPP

#include <string>

namespace caperpath::config
{

/// The 32 bytes of the SHA-256 of `bytes`. Thread safe.
std::string sha256(std::string const& bytes);

} // namespace caperpath::config

#endif
