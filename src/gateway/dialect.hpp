#ifndef CAPERPATH_SRC_GATEWAY_DIALECT_HPP
#define CAPERPATH_SRC_GATEWAY_DIALECT_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/site.hpp>

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// What the gateway asks of the adapter for callers, backend servers and
/// operators: names and formats are the adapter's, meanings are these types'.
namespace caperpath::gateway
{

namespace http = boost::beast::http;

/// What the head of a caller's request says. Immutable value.
struct request_facts
{
    std::string id;                   ///< of this attempt of the caller
    std::optional<duration> patience; ///< how long the caller will wait
    std::string key;                  ///< empty if there is none
    token_count prompt_tokens{};
    token_count output_tokens{}; ///< at most
    std::uint64_t shared_part{}; ///< 0 if the prompt shares nothing
    token_count shared_tokens{}; ///< up to and with that part
    std::string last_event_id;   ///< the caller has the stream up to here

    friend bool operator==(request_facts const&,
                           request_facts const&) = default;
};

/// What the gateway tells a server beside the caller's own request.
struct dispatch_facts
{
    duration time_left{};
    backend_server_id server;
    std::optional<customer_id> customer;
    std::int64_t priority{}; ///< 0 is the most urgent
    bool has_priority{false};
    std::string resume_after; ///< id of the last event that was delivered

    friend bool operator==(dispatch_facts const&,
                           dispatch_facts const&) = default;
};

/// What the head of a server's answer says. Immutable value.
struct answer_facts
{
    std::string request_id; ///< whose answer it is; empty if it does not say
    bool is_signed{false};
    bool not_run{false};      ///< the server says that it did not run it
    bool wrong_server{false}; ///< another server has the address now
    std::optional<fleet::load_report> load;
    std::optional<duration> idle_timeout; ///< of the connection

    friend bool operator==(answer_facts const&, answer_facts const&) = default;
};

/// A struct of functions; each is pure and thread safe.
struct dialect
{
    request_facts (*read_request)(http::fields const& head){};

    /// Takes out what is not for the server and sets what the gateway says.
    void (*prepare_request)(http::fields& head, dispatch_facts const& facts){};

    answer_facts (*read_answer)(http::fields const& head, unsigned status){};

    /// Takes out what concerns only the server's connection.
    void (*prepare_answer)(http::fields& head){};

    /// Marks an answer of the gateway's own to request `id`.
    void (*prepare_refusal)(http::fields& head, std::string const& id,
                            std::optional<duration> retry_after){};

    /// The configuration as the operators wrote it.
    std::variant<fleet::site_parts, error> (*read_site)(
        std::string const& text){};

    /// A server's entry under `id`.
    std::variant<fleet::server_entry, error> (*read_server)(
        std::string const& id, std::string const& text){};

    std::string site_table;   ///< where the operators write
    std::string site_key;     ///< the configuration's row in it
    std::string server_table; ///< where the servers write
};

} // namespace caperpath::gateway

#endif
