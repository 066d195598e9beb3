#ifndef CAPERPATH_CONFIG_CODEC_HPP
#define CAPERPATH_CONFIG_CODEC_HPP

#include <caperpath/config/document.hpp>
#include <caperpath/config/json_reader.hpp>

#include <nlohmann/json_fwd.hpp>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace caperpath::config
{

/// The routing policies that a document may name.
inline constexpr std::array<std::string_view, 4> routing_policies{
    "random", "round_robin", "least_outstanding", "power_of_two"};

/// Longest name of a customer, budget, model, service, backend server or
/// failure domain, in bytes.
inline constexpr std::size_t max_name_length = 64;

/// Most keys of one customer. Eight allow an operator to replace a key while
/// the old one is still in use, and keep the cost of trying all of them low.
inline constexpr std::size_t max_customer_keys = 8;

/// True if `text` has 1 to 64 letters, digits, '.', '_' and '-' and does not
/// start with '.' or '-'. Such a name needs no escaping in a path, a row's key
/// or a customer's key. Thread safe.
bool is_name(std::string_view text);

/// Reads and checks a whole document: references, ranges, names, the routing
/// policy, and duplicate keys and addresses. Adds each fault with its path; the
/// returned document is usable only if none was added. Thread safe.
document parse_document(nlohmann::json const& value,
                        std::vector<fault>& faults);

/// Writes every member, including those with a default value, so that equal
/// documents have equal text. Thread safe.
nlohmann::json to_json(document const& source);

/// Parses JSON text. Adds syntax errors and duplicate keys in an object to
/// `faults`; nlohmann::json alone would silently keep the last of two customers
/// with the same name. Thread safe.
nlohmann::json parse_text(std::string const& text, std::vector<fault>& faults);

/// Returns "overspend_first" or "false_refusals_first". Thread safe.
std::string_view to_string(budget_policy policy);

} // namespace caperpath::config

#endif
