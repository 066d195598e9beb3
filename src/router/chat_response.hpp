#ifndef CAPERPATH_SRC_ROUTER_CHAT_RESPONSE_HPP
#define CAPERPATH_SRC_ROUTER_CHAT_RESPONSE_HPP

#include "filters/chain.hpp"
#include "filters/context.hpp"
#include "filters/request_filters.hpp"
#include "router/chat_relay.hpp"
#include "router/response_json.hpp"

#include <string>

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace caperpath::router
{

/// Serves one chat completion from the request to its last byte, complete or
/// streamed. Used by one thread at a time.
class chat_response
{
public:
    chat_response(filters::request_dependencies const& shared,
                  filters::incoming given);

    /// Runs the filters and waits for the first token, so that a request that
    /// no engine accepts still gets an error status. Fills in `response`
    /// unless the completion is streamed.
    void begin(httplib::Response& response);

    /// True if the completion is streamed with `write`.
    bool streams() const;

    /// Streams the completion to its end. Returns false if the caller has
    /// disconnected.
    bool write(httplib::DataSink& sink);

    /// Leaves the filters in every case. Idempotent.
    void end();

private:
    relay_event first_event();
    void reject(request::rejection rejection, httplib::Response& response);
    void begin_replay(httplib::Response& response);
    void collect_response(relay_event first, httplib::Response& response);
    bool write_events(httplib::DataSink& sink);
    bool write_token(httplib::DataSink& sink, std::string const& text);
    bool write_finish(httplib::DataSink& sink, std::string const& reason);
    void write_failure(httplib::DataSink& sink, request::rejection rejection);
    void complete(std::string const& finish_reason);
    bool collects_text() const;

    filters::context request;
    filters::chain chain;
    response_identity identity;
    relay_event first;
    bool streaming{false};
    instant last_token;
};

/// Writes the request's rejection with its headers. Thread safe.
void write_rejection(filters::context const& request,
                     httplib::Response& response);

} // namespace caperpath::router

#endif
