#ifndef CAPERPATH_SRC_ROUTER_CHAT_ANSWER_HPP
#define CAPERPATH_SRC_ROUTER_CHAT_ANSWER_HPP

#include "filters/chain.hpp"
#include "filters/context.hpp"
#include "filters/steps.hpp"
#include "router/answer_json.hpp"
#include "router/chat_relay.hpp"

#include <string>

namespace httplib
{
class DataSink;
struct Response;
} // namespace httplib

namespace caperpath::router
{

/// One chat completion from the request to its last byte, whole or streamed.
/// Used by one thread at a time.
class chat_answer
{
public:
    chat_answer(filters::services const& shared, filters::incoming given);

    /// Runs the filters and waits for the first token, so that a request that
    /// no engine takes still gets an honest status. Fills in the response
    /// unless the answer streams.
    void begin(httplib::Response& response);

    /// True when `write` has something to stream.
    bool streams() const;

    /// Streams the answer to its end; false when the caller has left.
    bool write(httplib::DataSink& sink);

    /// Leaves the filters, whatever happened. Idempotent.
    void end();

private:
    relay_event first_event();
    void refuse(request::refusal refusal, httplib::Response& response);
    void begin_replay(httplib::Response& response);
    void gather_whole(relay_event first, httplib::Response& response);
    bool write_answer(httplib::DataSink& sink);
    bool write_token(httplib::DataSink& sink, std::string const& text);
    bool write_finish(httplib::DataSink& sink, std::string const& reason);
    void write_failure(httplib::DataSink& sink, request::refusal refusal);
    void complete(std::string const& finish_reason);
    bool keeps_text() const;

    filters::context request;
    filters::chain chain;
    answer_identity identity;
    relay_event first;
    bool streaming{false};
    instant last_token;
};

/// Writes a refusal with its headers. Thread safe.
void write_refusal(filters::context const& request,
                   httplib::Response& response);

} // namespace caperpath::router

#endif
