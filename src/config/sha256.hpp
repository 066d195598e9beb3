#ifndef CAPERPATH_SRC_CONFIG_SHA256_HPP
#define CAPERPATH_SRC_CONFIG_SHA256_HPP

#include <string>

namespace caperpath::config
{

/// Returns the SHA-256 of `bytes` as 32 raw bytes. Thread safe.
std::string sha256(std::string const& bytes);

} // namespace caperpath::config

#endif
