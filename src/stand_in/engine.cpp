#include "stand_in/engine.hpp"

#include "stand_in/chat_request.hpp"
#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace caperpath::stand_in
{

namespace
{

constexpr std::size_t runs_kept = 100'000;
// Threads for idle connections and calls besides chat.
constexpr std::size_t spare_threads = 1'000;
constexpr std::int64_t most_attempts = 1'000'000;

std::vector<std::string> const& fault_kinds()
{
    static std::vector<std::string> const kinds{
        "delay", "error",    "outage",       "silent",    "cut",
        "slow",  "wrong_id", "repeat_chunk", "skip_chunk"};
    return kinds;
}

http::server_options options_of(engine_settings const& settings)
{
    http::server_options options;
    options.max_threads =
        static_cast<std::size_t>(settings.slots + settings.max_queue) +
        spare_threads;
    return options;
}

byte_sink sink_of(httplib::DataSink& sink)
{
    return {[&sink](std::string const& bytes)
            { return sink.write(bytes.data(), bytes.size()); },
            [&sink] { return sink.is_writable(); },
            [&sink]
            {
                sink.done();
            }};
}

} // namespace

engine::engine(engine_settings settings, clock time)
    : settings{std::move(settings)}, time{time}, faults{time}, runs{runs_kept},
      batch{this->settings, time, this->hooks()}, server{options_of(
                                                      this->settings)}
{
    this->add_routes();
}

engine::~engine()
{
    this->stop();
}

int engine::start()
{
    this->port = this->server.start(this->settings.listen);
    return this->port;
}

void engine::stop()
{
    this->stopping.raise();
    this->batch.stop();
    this->server.finish();
}

scheduler_hooks engine::hooks()
{
    return {[this](generation_request const& request)
            {
                this->runs.add(request.request);
                return std::int64_t{0};
            },
            [this]
            {
                auto const slow = this->faults.look("slow");
                return slow ? static_cast<double>(slow->factor) : 1.0;
            },
            [](std::int64_t, std::int64_t) {
            }};
}

void engine::add_routes()
{
    using httplib::Request;
    using httplib::Response;
    this->server.set_pre_routing_handler(
        [this](Request const& request, Response&)
        {
            auto const spared =
                request.path == "/faults" || request.path == "/stats";
            if (spared || !this->faults.take("outage"))
            {
                return httplib::Server::HandlerResponse::Unhandled;
            }
            drop_connection(request, this->port);
            return httplib::Server::HandlerResponse::Handled;
        });
    this->server.Post("/v1/chat/completions",
                      [this](Request const& request, Response& response)
                      { this->chat(request, response); });
    this->server.Post("/cancel",
                      [this](Request const& request, Response& response)
                      { this->cancel(request, response); });
    this->server.Post("/faults",
                      [this](Request const& request, Response& response)
                      { this->post_fault(request, response); });
    this->server.Delete("/faults",
                        [this](Request const&, Response& response)
                        {
                            this->faults.clear();
                            reply_json(response, 200, {{"cleared", true}});
                        });
    this->server.Get("/stats", [this](Request const&, Response& response)
                     { this->stats(response); });
}

void engine::chat(httplib::Request const& request, httplib::Response& response)
{
    auto const body = parse_body(request, response);
    if (body.is_null())
    {
        return;
    }
    std::vector<config::fault> wrong;
    auto const parsed = parse_chat(request, body, wrong);
    if (!wrong.empty())
    {
        reply_faults(response, wrong);
        return;
    }
    auto const& wanted = parsed.generation;
    response.set_header("X-Request-Id", wanted.request);
    response.set_header("Caperpath-Attempt", std::to_string(wanted.attempt));
    if (this->refuse_chat(request, response))
    {
        return;
    }
    auto const source = this->batch.submit(wanted);
    if (!source)
    {
        reply_not_run(response, "the queue is full");
        return;
    }
    this->answer(source, parsed.form, response);
}

bool engine::refuse_chat(httplib::Request const&, httplib::Response& response)
{
    if (auto const delay = this->faults.take("delay"))
    {
        this->stopping.wait(delay->span);
    }
    if (this->faults.take("error"))
    {
        reply_error(response, 500, "server_error", "ordered by a fault");
        return true;
    }
    return false;
}

void engine::answer(std::shared_ptr<generation> const& source, answer_form form,
                    httplib::Response& response)
{
    auto const* const type =
        form.streamed ? "text/event-stream" : "application/json";
    auto const stream =
        std::make_shared<answer_stream>(source, std::move(form));
    this->take_faults(stream->faults);
    {
        std::lock_guard const lock{this->open_mutex};
        std::erase_if(this->open,
                      [](auto const& other) { return other.expired(); });
        this->open.push_back(stream);
    }
    // Whole answers go through a provider too: a handler that waits for the
    // last token couldn't see that its caller has left, and the engine would
    // spend its slot on an answer for nobody.
    response.set_header("Cache-Control", "no-cache");
    response.set_chunked_content_provider(
        type,
        [stream](std::size_t, httplib::DataSink& sink)
        { return stream->advance(sink_of(sink)); },
        [this, source](bool) { this->batch.cancel(source); });
}

void engine::take_faults(stream_faults& faults)
{
    auto const place = [this](char const* kind)
    {
        auto const fault = this->faults.take(kind);
        return fault ? fault->after_tokens : -1;
    };
    faults.cut = place("cut");
    faults.silent = place("silent");
    faults.wrong_id = place("wrong_id");
    faults.repeat_chunk = place("repeat_chunk");
    faults.skip_chunk = place("skip_chunk");
}

void engine::post_fault(httplib::Request const& request,
                        httplib::Response& response)
{
    auto const body = parse_body(request, response);
    if (body.is_null())
    {
        return;
    }
    std::vector<config::fault> wrong;
    auto const fault = parse_fault(body, fault_kinds(), wrong);
    if (!wrong.empty())
    {
        reply_faults(response, wrong);
        return;
    }
    if (fault.count == 0)
    {
        this->strike_open(fault);
    }
    // Silence without a count is for the streams now open: new ones work.
    if (fault.kind != "silent" || fault.count > 0)
    {
        this->faults.add(fault);
    }
    reply_json(response, 200, {{"standing", fault.kind}});
}

void engine::strike_open(ordered_fault const& fault)
{
    std::lock_guard const lock{this->open_mutex};
    for (auto const& weak : this->open)
    {
        auto const stream = weak.lock();
        if (stream && (fault.kind == "cut" || fault.kind == "outage"))
        {
            stream->faults.cut = fault.after_tokens;
        }
        if (stream && fault.kind == "silent")
        {
            stream->faults.silent = fault.after_tokens;
        }
    }
}

void engine::cancel(httplib::Request const& request,
                    httplib::Response& response)
{
    auto const body = parse_body(request, response);
    if (body.is_null())
    {
        return;
    }
    std::vector<config::fault> wrong;
    config::json_reader reader{body, "", wrong};
    auto const id = reader.text("request");
    auto const attempt =
        reader.whole_or("attempt", "attempts", 1, most_attempts, 0);
    reader.finish();
    if (!wrong.empty())
    {
        reply_faults(response, wrong);
        return;
    }
    reply_json(response, 200, {{"cancelled", this->batch.cancel(id, attempt)}});
}

void engine::stats(httplib::Response& response) const
{
    auto const totals = this->batch.totals();
    reply_json(response, 200,
               {{"name", this->settings.name},
                {"runs", this->runs.all()},
                {"tokens_generated", totals.tokens_generated},
                {"cancelled", totals.cancelled}});
}

} // namespace caperpath::stand_in
