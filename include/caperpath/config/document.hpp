#ifndef CAPERPATH_CONFIG_DOCUMENT_HPP
#define CAPERPATH_CONFIG_DOCUMENT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/id.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace caperpath::config
{

/// The measure that a budget puts first.
enum class budget_policy
{
    overspend_first,     ///< a bill is durable before the response ends
    false_refusals_first ///< larger shares; bills are settled afterwards
};

/// A salted hash of a customer's key; the key itself is never stored.
struct key_hash
{
    std::string salt; ///< hexadecimal
    std::string
        sha256; ///< hexadecimal SHA-256 of the salt bytes followed by the key

    friend bool operator==(key_hash const&, key_hash const&) = default;
};

struct customer
{
    std::vector<key_hash> keys;
    budget_id budget;
    std::int64_t max_concurrent{64}; ///< open requests in the whole fleet
    std::int64_t tokens_per_second{100'000};
    int priority{0}; ///< higher values go first

    friend bool operator==(customer const&, customer const&) = default;
};

/// The paid amount is not part of the configuration; it is a row of the table.
struct budget
{
    budget_policy policy{budget_policy::overspend_first};

    friend bool operator==(budget const&, budget const&) = default;
};

/// Prices are budget tokens per model token.
struct model
{
    token_count prompt_price{1};
    token_count completion_price{1};
    std::int64_t max_prompt_tokens{8192};
    std::int64_t max_completion_tokens{1024};

    friend bool operator==(model const&, model const&) = default;
};

/// Calls of a plain service whose method and path prefix match.
struct service_call
{
    std::string method; ///< upper case, or "*"
    std::string path_prefix;
    bool idempotent{false};
    token_count price{0}; ///< budget tokens per call

    friend bool operator==(service_call const&, service_call const&) = default;
};

struct service
{
    std::vector<service_call> calls; ///< the first match applies

    friend bool operator==(service const&, service const&) = default;
};

enum class backend_kind
{
    engine,       ///< serves a model
    plain_service ///< serves a service
};

struct backend_server
{
    backend_kind kind{backend_kind::engine};
    std::string serves;  ///< name of the model or the service
    std::string address; ///< "IP:port"
    failure_domain_id failure_domain;
    bool checks_fencing{false}; ///< rejects commands with an old fencing number
    bool draining{false};       ///< draining: gets no new requests

    friend bool operator==(backend_server const&,
                           backend_server const&) = default;
};

struct routing
{
    std::string policy{"least_outstanding"};
    duration request_timeout{60'000};

    friend bool operator==(routing const&, routing const&) = default;
};

/// One numbered version of the whole configuration. Immutable once built; a
/// request holds one `shared_ptr<document const>` from start to end.
struct document
{
    std::uint64_t version{};
    std::string name; ///< of an experiment, may be empty
    std::map<customer_id, customer> customers;
    std::map<budget_id, budget> budgets;
    std::map<model_id, model> models;
    std::map<service_id, service> services;
    std::map<backend_server_id, backend_server> backend_servers;
    config::routing routing;

    friend bool operator==(document const&, document const&) = default;
};

} // namespace caperpath::config

#endif
