#include "router/http_routes.hpp"

#include "filters/chain.hpp"
#include "router/chat_response.hpp"

#include <caperpath/base/http_status.hpp>
#include <caperpath/observe/log.hpp>

#include "router/response_json.hpp"

#include <exception>
#include <utility>

namespace caperpath::router
{

namespace
{

constexpr char json_type[] = "application/json";

filters::incoming incoming_of(httplib::Request const& given)
{
    return {given.method,
            given.target,
            given.body,
            given.get_header_value("Content-Type"),
            given.get_header_value("Authorization"),
            given.get_header_value("Idempotency-Key"),
            given.get_header_value("traceparent")};
}

void serve_chat(filters::request_dependencies const& shared,
                httplib::Request const& given, httplib::Response& response)
{
    auto const chat =
        std::make_shared<chat_response>(shared, incoming_of(given));
    chat->begin(response);
    if (chat->streams())
    {
        response.set_chunked_content_provider(
            "text/event-stream",
            [chat](std::size_t, httplib::DataSink& sink)
            { return chat->write(sink); },
            // Also called if the caller's connection broke before the first
            // write; otherwise the reservation would never be released.
            [chat](bool) { chat->end(); });
    }
}

void serve_service(filters::request_dependencies const& shared,
                   httplib::Request const& given, httplib::Response& response)
{
    filters::context request{shared, incoming_of(given)};
    filters::chain chain{filters::request_filters(), request};
    chain.enter();
    // Leaving the filters can still withhold the response: its bill may not be
    // written, or another router may have taken over the claim.
    chain.leave();
    if (request.state != filters::progress::completed)
    {
        write_rejection(request, response);
        return;
    }
    response.status = request.response->status;
    response.set_header("X-Request-Id", request.id.value);
    response.set_header("Caperpath-Outcome", "completed");
    http::set_body(response, request.response->body,
                   request.response->content_type);
}

void serve_models(filters::request_dependencies const& shared,
                  httplib::Request const& given, httplib::Response& response)
{
    filters::context request{shared, incoming_of(given)};
    static std::vector<filters::filter> const model_list_filters{
        filters::account_filter(), filters::authenticate_filter()};
    filters::chain chain{model_list_filters, request};
    bool const passed = chain.enter();
    request.state = passed ? filters::progress::completed : request.state;
    chain.leave();
    if (!passed)
    {
        write_rejection(request, response);
        return;
    }
    http::set_body(response, models_json(*request.document), json_type);
}

// Adds the usual error object to errors that the HTTP library itself reports.
void describe_error(httplib::Request const&, httplib::Response& response)
{
    if (response.has_header("Content-Type"))
    {
        return;
    }
    bool const server_fault = response.status >= http_internal_error;
    request::rejection rejection{response.status,
                                 request::outcome::not_run,
                                 {},
                                 server_fault ? "server_error"
                                              : "invalid_request_error",
                                 "http_" + std::to_string(response.status),
                                 "",
                                 ""};
    switch (response.status)
    {
    case http_payload_too_large:
        rejection.param = "body";
        rejection.message = "the body is larger than this server takes";
        break;
    case http_not_found:
        rejection.param = "path";
        rejection.message = "nothing is served at this path";
        break;
    case http_bad_request:
        rejection.message = "the request is not well-formed HTTP";
        break;
    default:
        rejection.message = "the request was not served";
        break;
    }
    response.set_header("Caperpath-Outcome",
                        std::string{request::to_string(rejection.kind)});
    http::set_body(response, error_json(rejection), json_type);
}

std::string message_of(std::exception_ptr const& thrown)
{
    try
    {
        std::rethrow_exception(thrown);
    }
    catch (std::exception const& fault)
    {
        return fault.what();
    }
    catch (...)
    {
        return "exception of unknown type";
    }
}

// Handles an internal error. The request may have been dispatched before it.
void describe_exception(httplib::Request const&, httplib::Response& response,
                        std::exception_ptr const& thrown)
{
    observe::log_error({"request", {}, {}}, message_of(thrown));
    request::rejection const rejection{
        http_internal_error,
        request::outcome::unknown,
        {},
        "server_error",
        "internal_error",
        "",
        "this router failed while serving the request"};
    response.status = rejection.status;
    response.set_header("Caperpath-Outcome",
                        std::string{request::to_string(rejection.kind)});
    http::set_body(response, error_json(rejection), json_type);
}

void register_status(http::server& server,
                     filters::request_dependencies const& shared,
                     status_pages const& pages)
{
    server.Get("/healthz",
               [pages](httplib::Request const&, httplib::Response& response)
               { http::set_body(response, pages.health(), json_type); });
    server.Get("/readyz",
               [pages](httplib::Request const&, httplib::Response& response)
               {
                   bool const ready = pages.ready();
                   response.status = ready ? http_ok : http_unavailable;
                   http::set_body(response,
                                  ready ? "{\"ready\":true}"
                                        : "{\"ready\":false}",
                                  json_type);
               });
    server.Get("/metrics",
               [&shared](httplib::Request const&, httplib::Response& response)
               {
                   shared.metrics->spans_dropped(shared.spans.dropped());
                   http::set_body(response, shared.metrics->render(),
                                  "text/plain; version=0.0.4");
               });
}

} // namespace

void register_routes(http::server& server,
                     filters::request_dependencies const& shared,
                     status_pages const& pages)
{
    auto const chat =
        [&shared](httplib::Request const& given, httplib::Response& response)
    {
        serve_chat(shared, given, response);
    };
    auto const service =
        [&shared](httplib::Request const& given, httplib::Response& response)
    {
        serve_service(shared, given, response);
    };
    auto const models =
        [&shared](httplib::Request const& given, httplib::Response& response)
    {
        serve_models(shared, given, response);
    };
    constexpr char services_pattern[] = "/services/.+";
    server.Post("/v1/chat/completions", chat);
    server.Get("/v1/models", models);
    server.Get(services_pattern, service);
    server.Post(services_pattern, httplib::Server::Handler{service});
    server.Put(services_pattern, httplib::Server::Handler{service});
    server.Patch(services_pattern, httplib::Server::Handler{service});
    server.Delete(services_pattern, httplib::Server::Handler{service});
    register_status(server, shared, pages);
    server.set_error_handler(httplib::Server::Handler{describe_error});
    server.set_exception_handler(describe_exception);
}

} // namespace caperpath::router
