#include <caperpath/config/codec.hpp>

#include "config/document_checks.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace caperpath::config
{

namespace
{

constexpr std::int64_t max_price = 1'000'000;
constexpr std::int64_t max_model_tokens = 10'000'000;
constexpr std::int64_t max_open_requests = 1'000'000;
constexpr std::int64_t max_rate = 1'000'000'000;
constexpr std::int64_t max_priority = 100;
constexpr std::int64_t max_timeout_ms = 3'600'000;
constexpr std::int64_t max_version = 1'000'000'000'000;
constexpr std::size_t salt_digits = 32;
constexpr std::size_t sha256_digits = 64;

std::string const engine_kind = "engine";
std::string const service_kind = "plain_service";

bool is_hex(std::string const& text, std::size_t digits)
{
    return text.size() == digits &&
           text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

key_hash read_key(nlohmann::json const& value, std::string const& path,
                  std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    key_hash key{reader.text("salt"), reader.text("sha256")};
    if (!is_hex(key.salt, salt_digits))
    {
        reader.reject("salt", "expected 32 lower-case hexadecimal digits");
    }
    if (!is_hex(key.sha256, sha256_digits))
    {
        reader.reject("sha256", "expected 64 lower-case hexadecimal digits");
    }
    reader.finish();
    return key;
}

customer read_customer(nlohmann::json const& value, std::string const& path,
                       std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    customer made;
    reader.each_element("keys",
                        [&](nlohmann::json const& key, std::string const& at)
                        { made.keys.push_back(read_key(key, at, faults)); });
    if (made.keys.size() > max_customer_keys)
    {
        reader.reject("keys", "expected at most " +
                                  std::to_string(max_customer_keys) + " keys");
    }
    made.budget = {reader.text("budget")};
    made.max_concurrent =
        reader.integer_or("max_concurrent", "open requests", 1,
                          max_open_requests, made.max_concurrent);
    made.tokens_per_second =
        reader.integer_or("tokens_per_second", "tokens a second", 1, max_rate,
                          made.tokens_per_second);
    made.priority = static_cast<int>(reader.integer_or(
        "priority", "priority", -max_priority, max_priority, made.priority));
    reader.finish();
    return made;
}

budget read_budget(nlohmann::json const& value, std::string const& path,
                   std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    auto const policy = reader.text("policy", "overspend_first");
    reader.finish();
    for (auto const known :
         {budget_policy::overspend_first, budget_policy::false_refusals_first})
    {
        if (policy == to_string(known))
        {
            return {known};
        }
    }
    reader.reject("policy",
                  "expected \"overspend_first\" or \"false_refusals_first\"");
    return {};
}

model read_model(nlohmann::json const& value, std::string const& path,
                 std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    model made;
    made.prompt_price =
        reader.integer_or("prompt_price", "budget tokens per model token", 0,
                          max_price, made.prompt_price);
    made.completion_price =
        reader.integer_or("completion_price", "budget tokens per model token",
                          0, max_price, made.completion_price);
    made.max_prompt_tokens =
        reader.integer_or("max_prompt_tokens", "model tokens", 1,
                          max_model_tokens, made.max_prompt_tokens);
    made.max_completion_tokens =
        reader.integer_or("max_completion_tokens", "model tokens", 1,
                          max_model_tokens, made.max_completion_tokens);
    reader.finish();
    return made;
}

service_call read_call(nlohmann::json const& value, std::string const& path,
                       std::vector<fault>& faults)
{
    static std::vector<std::string> const methods{
        "*", "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};
    json_reader reader{value, path, faults};
    service_call made;
    made.method = reader.text("method", "*");
    if (std::find(methods.begin(), methods.end(), made.method) == methods.end())
    {
        reader.reject("method", "expected an HTTP method in upper case or *");
    }
    made.path_prefix = reader.text("path_prefix", "/");
    if (!made.path_prefix.starts_with('/'))
    {
        reader.reject("path_prefix", "expected a path that starts with /");
    }
    made.idempotent = reader.boolean_or("idempotent", false);
    made.price = reader.integer_or("price", "budget tokens a call", 0, max_rate,
                                   made.price);
    reader.finish();
    return made;
}

service read_service(nlohmann::json const& value, std::string const& path,
                     std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    service made;
    reader.each_element("calls",
                        [&](nlohmann::json const& call, std::string const& at)
                        { made.calls.push_back(read_call(call, at, faults)); });
    reader.finish();
    return made;
}

backend_server read_backend_server(nlohmann::json const& value,
                                   std::string const& path,
                                   std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    backend_server made;
    auto const kind = reader.text("kind");
    if (kind != engine_kind && kind != service_kind)
    {
        reader.reject("kind", R"(expected "engine" or "plain_service")");
    }
    made.kind = kind == service_kind ? backend_kind::plain_service
                                     : backend_kind::engine;
    made.serves = reader.text("serves");
    made.address = reader.address("address");
    made.failure_domain = {reader.text("failure_domain")};
    if (!is_name(made.failure_domain.value))
    {
        reader.reject("failure_domain", "expected a name of letters, digits, "
                                        "'.', '_' and '-'");
    }
    made.checks_fencing = reader.boolean_or("checks_fencing", false);
    made.draining = reader.boolean_or("leaving", false);
    reader.finish();
    return made;
}

routing read_routing(nlohmann::json const& value, std::string const& path,
                     std::vector<fault>& faults)
{
    json_reader reader{value, path, faults};
    routing made;
    made.policy = reader.text("policy", made.policy.c_str());
    if (std::find(routing_policies.begin(), routing_policies.end(),
                  made.policy) == routing_policies.end())
    {
        std::vector<std::string> const known{routing_policies.begin(),
                                             routing_policies.end()};
        auto const nearest = nearest_name(made.policy, known);
        reader.reject("policy", "no such routing policy" +
                                    (nearest.empty() ? std::string{}
                                                     : ", did you mean \"" +
                                                           nearest + "\"?"));
    }
    made.request_timeout = {reader.integer_or("request_timeout_ms",
                                              "milliseconds", 1, max_timeout_ms,
                                              made.request_timeout.ms)};
    reader.finish();
    return made;
}

template <class Id, class Value, class Read>
void read_map(json_reader& reader, std::string_view key,
              std::map<Id, Value>& target, std::vector<fault>& faults,
              Read read)
{
    reader.each_member(key,
                       [&](std::string const& name, nlohmann::json const& value,
                           std::string const& path)
                       {
                           if (!is_name(name))
                           {
                               faults.push_back(
                                   {path, "expected a name of 1 to 64 letters, "
                                          "digits, '.', '_' and '-'"});
                           }
                           target[Id{name}] = read(value, path, faults);
                       });
}

} // namespace

bool is_name(std::string_view text)
{
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyz"
                             "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= max_name_length &&
           text.find_first_not_of(allowed) == std::string_view::npos &&
           text.front() != '.' && text.front() != '-';
}

document parse_document(nlohmann::json const& value, std::vector<fault>& faults)
{
    json_reader reader{value, "", faults};
    document made;
    made.version = static_cast<std::uint64_t>(
        reader.integer_or("version", "version", 0, max_version, 0));
    made.name = reader.text("name", "");
    if (!made.name.empty() && !is_name(made.name))
    {
        reader.reject("name", "expected a name of 1 to 64 letters, digits, "
                              "'.', '_' and '-'");
    }
    read_map(reader, "customers", made.customers, faults, read_customer);
    read_map(reader, "budgets", made.budgets, faults, read_budget);
    read_map(reader, "models", made.models, faults, read_model);
    read_map(reader, "services", made.services, faults, read_service);
    read_map(reader, "backend_servers", made.backend_servers, faults,
             read_backend_server);
    if (reader.has("routing"))
    {
        made.routing = read_routing(value["routing"], "/routing", faults);
    }
    reader.finish();
    check_references(made, faults);
    return made;
}

std::string_view to_string(budget_policy policy)
{
    return policy == budget_policy::overspend_first ? "overspend_first"
                                                    : "false_refusals_first";
}

} // namespace caperpath::config
