#ifndef CAPERPATH_SRC_GATEWAY_PROTOCOL_ADAPTER_HPP
#define CAPERPATH_SRC_GATEWAY_PROTOCOL_ADAPTER_HPP

#include <caperpath/base/clock.hpp>
#include <caperpath/base/error.hpp>
#include <caperpath/base/id.hpp>
#include <caperpath/fleet/prompt_part.hpp>
#include <caperpath/fleet/server_table.hpp>
#include <caperpath/fleet/site.hpp>

#include <boost/beast/http/fields.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// The interface of the adapter for callers, backend servers and operators: the
/// adapter defines names and formats, these types define their meaning.
namespace caperpath::gateway
{

namespace http = boost::beast::http;

/// The content of the head of a request. Immutable value.
struct request_facts
{
    std::string id;                  ///< of this attempt by the caller
    std::optional<duration> timeout; ///< how long the caller waits
    std::string key;                 ///< API key; empty if not sent
    token_count prompt_tokens{};
    token_count output_tokens{}; ///< upper bound
    /// The parts of the prompt that it may share with other requests, in order.
    std::vector<fleet::prompt_part> shared_parts;
    std::uint64_t shared_part{}; ///< 0 if the prompt shares nothing
    token_count shared_tokens{}; ///< tokens up to the end of that part
    std::string last_event_id;   ///< last event that the caller received
    /// The caller's attempt that brought the first event of the stream that
    /// this request resumes; empty if not stated.
    std::string resumes;
    /// The counts of tokens were sent, and are not numbers.
    bool has_unreadable_size{false};
    /// A field that states one fact was sent more than once.
    bool is_ambiguous{false};

    friend bool operator==(request_facts const&,
                           request_facts const&) = default;
};

/// What the gateway adds to the caller's request when it sends it to a server.
struct dispatch_facts
{
    duration time_left{};
    backend_server_id server;
    std::optional<customer_id> customer;
    std::int64_t priority{}; ///< 0 is the most urgent
    bool has_priority{false};
    std::string resume_after; ///< id of the last relayed event

    friend bool operator==(dispatch_facts const&,
                           dispatch_facts const&) = default;
};

/// The content of the head of a response. Immutable value.
struct response_facts
{
    /// The request it answers; empty if not stated. Several ids name none.
    std::string request_id;
    bool is_signed{false};    ///< by a single signature
    bool not_run{false};      ///< the server states that it did not run it
    bool wrong_server{false}; ///< another server has the address now
    std::optional<fleet::load_report> load;
    /// The rate of requests that the server takes from all routers together;
    /// empty if it names none.
    std::optional<double> requests_per_second;
    /// The most requests that a server of this service can reject in a second;
    /// empty if it is not brittle.
    std::optional<double> rejections_per_second;
    bool leaves{false}; ///< the server takes no more requests and will end
    /// The server rejected the request and wants no others from this router for
    /// `rest`; that is empty if it was not readable.
    bool wants_rest{false};
    std::optional<duration> rest;
    std::optional<duration> idle_timeout; ///< of the connection
    duration warm_up_left{};              ///< how long the server stays cold

    friend bool operator==(response_facts const&,
                           response_facts const&) = default;
};

/// Functions of the adapter; each is pure and thread safe.
struct protocol_adapter
{
    request_facts (*read_request)(http::fields const& head){};

    /// Removes the fields that are not for the server and adds those of
    /// `facts`.
    void (*prepare_request)(http::fields& head, dispatch_facts const& facts){};

    response_facts (*read_response)(http::fields const& head,
                                    unsigned status){};

    /// Removes the fields that concern only the connection to the server.
    void (*prepare_response)(http::fields& head){};

    /// Sets the fields of a rejection of request `id` by the gateway.
    void (*prepare_rejection)(http::fields& head, std::string const& id,
                              std::optional<duration> retry_after){};

    /// Parses the configuration that the operators wrote.
    std::variant<fleet::site_parts, error> (*read_site)(
        std::string const& text){};

    /// Parses the entry of the server `id`.
    std::variant<fleet::server_entry, error> (*read_server)(
        std::string const& id, std::string const& text){};

    std::string site_table; ///< table that the operators write
    std::string site_key;   ///< row of the configuration in it
    /// In the same table: a row whose key is this and the name of a failure
    /// domain evacuates that failure domain.
    std::string evacuation_prefix;
    std::string server_table; ///< table that the servers write
};

} // namespace caperpath::gateway

#endif
