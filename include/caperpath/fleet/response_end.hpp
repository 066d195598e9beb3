#ifndef CAPERPATH_FLEET_RESPONSE_END_HPP
#define CAPERPATH_FLEET_RESPONSE_END_HPP

#include <string_view>

/// Decides whether a response whose connection has ended is complete. Pure
/// functions.
namespace caperpath::fleet
{

/// What delimits the body of a response.
enum class body_framing
{
    length,
    chunks,
    connection ///< neither: the body ends with its connection
};

/// A single word, for logs. Thread safe.
std::string_view to_text(body_framing framing);

} // namespace caperpath::fleet

#endif
