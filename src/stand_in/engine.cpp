#include "stand_in/engine.hpp"

#include "stand_in/admin_routes.hpp"
#include "stand_in/chat_request.hpp"
#include "stand_in/replies.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace caperpath::stand_in
{

namespace
{

constexpr std::size_t max_counted_runs = 100'000;
// Threads for idle connections and calls besides chat.
constexpr std::size_t spare_threads = 1'000;
constexpr std::int64_t max_attempts = 1'000'000;

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

engine::engine(engine_settings settings, clock const& time)
    : settings{std::move(settings)}, time{time}, faults{time},
      orders{this->settings.checks_fencing, this->settings.model},
      cache{this->settings.cache_capacity,
            {this->settings.event_lag, this->settings.event_gap_percent},
            time},
      history{time, this->settings.load_lag}, runs{max_counted_runs},
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
    return this->server.start(this->settings.listen);
}

void engine::stop()
{
    this->stopping.raise();
    this->batch.stop();
    this->cut_open();
    this->server.finish();
}

scheduler_hooks engine::hooks()
{
    return {[this](generation_request const& request)
            {
                this->runs.add(request.request);
                return this->cache.use(request.prompt);
            },
            [this]
            {
                auto const slow = this->faults.peek("slow");
                return slow ? static_cast<double>(slow->factor) : 1.0;
            },
            [this](std::int64_t running, std::int64_t queued)
            {
                this->history.update(
                    [&](load_sample& sample)
                    {
                        sample.running = running;
                        sample.queued = queued;
                        sample.cache_tokens = this->cache.tokens();
                    });
            }};
}

void engine::add_routes()
{
    using httplib::Request;
    using httplib::Response;
    add_outage(this->server, this->faults, {"/faults", "/stats"});
    add_fault_routes(this->server, this->faults, fault_kinds(),
                     [this](fault_command const& fault)
                     { this->accept_fault(fault); });
    add_command_route(this->server, this->orders,
                      [this]
                      {
                          this->history.update(
                              [this](load_sample& sample)
                              { sample.leaving = this->orders.leaving(); });
                      });
    this->server.Post("/v1/chat/completions",
                      [this](Request const& request, Response& response)
                      { this->chat(request, response); });
    this->server.Post("/cancel",
                      [this](Request const& request, Response& response)
                      { this->cancel(request, response); });
    this->server.Get("/v1/models", [this](Request const&, Response& response)
                     { this->models(response); });
    this->server.Get("/load", [this](Request const&, Response& response)
                     { this->load(response); });
    this->server.Get("/cache-events",
                     [this](Request const& request, Response& response)
                     { this->cache_events(request, response); });
    this->server.Get("/stats", [this](Request const&, Response& response)
                     { this->stats(response); });
}

void engine::chat(httplib::Request const& request, httplib::Response& response)
{
    std::vector<config::fault> errors;
    auto parsed = parse_chat(request, parse_body(request), errors);
    if (!errors.empty())
    {
        reply_faults(response, errors);
        return;
    }
    auto& wanted = parsed.generation;
    if (wanted.request.empty())
    {
        wanted.request = this->settings.name + "-" +
                         std::to_string(++this->requests_without_id);
    }
    response.set_header("X-Request-Id", wanted.request);
    response.set_header("Caperpath-Attempt", std::to_string(wanted.attempt));
    if (this->reject_chat(parsed.form.model, response))
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

bool engine::reject_chat(std::string const& model, httplib::Response& response)
{
    if (rejected_by_fault_or_drain(this->faults, this->orders, this->stopping,
                                   response))
    {
        return true;
    }
    if (!this->orders.has_model(model))
    {
        reply_error(response, 404, "invalid_request_error",
                    "/model: not loaded here");
        response.set_header("Caperpath-Not-Run", "true");
        return true;
    }
    return false;
}

void engine::answer(std::shared_ptr<generation> const& source,
                    response_format form, httplib::Response& response)
{
    auto const* const type =
        form.streamed ? "text/event-stream" : "application/json";
    auto const stream =
        std::make_shared<response_stream>(source, std::move(form));
    this->take_faults(stream->faults);
    {
        std::lock_guard const lock{this->open_mutex};
        std::erase_if(this->open,
                      [](auto const& other) { return other.expired(); });
        this->open.push_back(stream);
    }
    if (this->stopping.wait({}))
    {
        stream->faults.cut = 0; // `cut_open` may have run already
    }
    // Responses in one piece use a provider too: a handler waiting for the
    // last token could not detect that its caller disconnected, and would keep
    // the slot for a response that nobody reads.
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

void engine::accept_fault(fault_command const& fault)
{
    if (fault.count == 0)
    {
        this->apply_to_open(fault);
    }
    // Silence without a count affects only the streams that are open now.
    if (fault.kind != "silent" || fault.count > 0)
    {
        this->faults.add(fault);
    }
}

void engine::apply_to_open(fault_command const& fault)
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

// The server's stop waits for open streams, and a silent one never ends.
void engine::cut_open()
{
    std::lock_guard const lock{this->open_mutex};
    for (auto const& weak : this->open)
    {
        if (auto const stream = weak.lock())
        {
            stream->faults.cut = 0;
        }
    }
}

void engine::cancel(httplib::Request const& request,
                    httplib::Response& response)
{
    auto const body = parse_body(request);
    std::vector<config::fault> errors;
    config::json_reader reader{body, "", errors};
    auto const id = reader.text("request");
    auto const attempt =
        reader.integer_or("attempt", "attempts", 1, max_attempts, 0);
    reader.finish();
    if (!errors.empty())
    {
        reply_faults(response, errors);
        return;
    }
    reply_json(response, 200, {{"cancelled", this->batch.cancel(id, attempt)}});
}

} // namespace caperpath::stand_in
