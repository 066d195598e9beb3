#include "store/store_emulator.hpp"

#include "http/cut_connection.hpp"
#include "http/fault_plan.hpp"
#include "http/server.hpp"
#include "store/store_emulator_response.hpp"
#include "store/token_bucket.hpp"
#include "store/vm_history.hpp"

#include <caperpath/store/memory_table.hpp>
#include <caperpath/store/wire.hpp>

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <mutex>
#include <utility>

namespace caperpath::store
{

namespace
{

using httplib::Request;
using httplib::Response;

constexpr char any_object[] = R"(/objects/([\s\S]+))";
constexpr char any_vm[] = R"(/vms/([^/]+))";
constexpr duration silent_duration{60'000};
constexpr std::size_t max_object_bytes = 64 * 1024 * 1024;

http::server_options server_limits()
{
    http::server_options limits;
    limits.max_body_bytes = max_object_bytes;
    return limits;
}

http::fault_vocabulary const vocabulary{
    {"commit", "read", "scan", "put_object", "get_object", "list_vms"},
    {"delay", "error", "outage", "silent", "lost_answer", "lag"}};

struct counters
{
    std::int64_t writes{};
    std::int64_t reads{};
    std::int64_t rows_written{};
    std::int64_t refused_by_rate{};
};

} // namespace

class store_emulator::implementation
{
public:
    implementation(store_emulator_settings const& settings,
                   caperpath::clock const& now)
        : settings{settings}, now{now}, write_limit{settings.writes_per_second,
                                                    now.now()},
          read_limit{settings.reads_per_second, now.now()}, vms{settings.vms}
    {
        this->serve_table();
        this->serve_objects();
        this->serve_vms();
        this->serve_faults();
        this->serve_stats();
    }

    std::string start()
    {
        auto const host = http::parse_endpoint(this->settings.listen).host;
        auto const port = this->server.start(this->settings.listen);
        return port < 0 ? "" : host + ":" + std::to_string(port);
    }

    void stop()
    {
        {
            std::lock_guard const lock{this->mutex};
            this->stopping = true;
        }
        this->wake.notify_all();
        this->server.finish();
    }

private:
    void serve_table()
    {
        this->server.Post(wire::commit_path,
                          [this](Request const& in, Response& out) {
                              this->write("commit", in, out,
                                          [&] { this->commit(in, out); });
                          });
        this->server.Post(wire::read_path,
                          [this](Request const& in, Response& out) {
                              this->read("read", in, out,
                                         [&] { this->read_rows(in, out); });
                          });
        this->server.Post(
            wire::scan_path, [this](Request const& in, Response& out)
            { this->read("scan", in, out, [&] { this->scan(in, out); }); });
    }

    void serve_objects()
    {
        this->server.Put(any_object,
                         [this](Request const& in, Response& out) {
                             this->write("put_object", in, out,
                                         [&] { this->put_object(in, out); });
                         });
        this->server.Get(any_object,
                         [this](Request const& in, Response& out) {
                             this->read("get_object", in, out,
                                        [&] { this->get_object(in, out); });
                         });
    }

    void serve_vms()
    {
        this->server.Get(wire::vms_path,
                         [this](Request const& in, Response& out)
                         { this->list_vms(in, out); });
        this->server.Post(wire::vms_path,
                          [this](Request const& in, Response& out)
                          {
                              with_body(in, out, wire::decode_vm,
                                        [&](listed_vm const& changed)
                                        { this->upsert(changed, out); });
                          });
        this->server.Delete(any_vm, [this](Request const& in, Response& out)
                            { this->remove(in.matches[1].str(), out); });
    }

    void serve_faults()
    {
        this->server.Post("/faults", [this](Request const& in, Response& out)
                          { this->plan(in, out); });
        this->server.Delete("/faults",
                            [this](Request const&, Response& out)
                            {
                                this->faults.clear();
                                out.set_content(wire::encode_applied(),
                                                json_type);
                            });
    }

    void serve_stats()
    {
        this->server.Get(
            "/stats",
            [this](Request const&, Response& out)
            {
                std::lock_guard const lock{this->mutex};
                nlohmann::json const counted{
                    {"writes", this->count.writes},
                    {"reads", this->count.reads},
                    {"rows_written", this->count.rows_written},
                    {"refused_by_rate", this->count.refused_by_rate}};
                out.set_content(counted.dump(), json_type);
            });
    }

    template <class Action>
    void write(char const* step, Request const& in, Response& out,
               Action action)
    {
        this->call(step, this->write_limit, this->count.writes, in, out,
                   [&](duration) { action(); });
    }

    template <class Action>
    void read(char const* step, Request const& in, Response& out, Action action)
    {
        this->call(step, this->read_limit, this->count.reads, in, out,
                   [&](duration) { action(); });
    }

    // Applies the planned fault, then the rate limit, then the effect, then
    // responds. `action` receives the additional lag of the VM list.
    template <class Action>
    void call(char const* step, token_bucket& limit, std::int64_t& counted,
              Request const& in, Response& out, Action action)
    {
        auto const fault = this->faults.take(step, this->now.now());
        auto const kind = fault ? fault->kind : "";
        if (kind == "outage")
        {
            write_rejection(out, error_kind::unavailable, "planned outage");
            return;
        }
        if (kind == "error")
        {
            out.status = 500;
            return;
        }
        if (kind == "silent")
        {
            this->hold(silent_duration);
            http::cut_connection(in);
            return;
        }
        if (kind == "delay")
        {
            this->hold(fault->span);
        }
        if (!this->admit(limit, counted))
        {
            write_rejection(out, error_kind::refused, "rate limit");
            return;
        }
        action(kind == "lag" ? fault->span : duration{});
        if (kind == "lost_answer")
        {
            http::cut_connection(in);
        }
    }

    void hold(duration span)
    {
        std::unique_lock lock{this->mutex};
        this->wake.wait_for(lock, std::chrono::milliseconds{span.ms},
                            [this] { return this->stopping; });
    }

    bool admit(token_bucket& limit, std::int64_t& counted)
    {
        std::lock_guard const lock{this->mutex};
        auto const admitted = limit.take(this->now.now());
        ++(admitted ? counted : this->count.refused_by_rate);
        return admitted;
    }

    void commit(Request const& in, Response& out)
    {
        with_body(in, out, wire::decode_transaction,
                  [&](transaction const& txn)
                  {
                      auto const outcome = this->table.commit(txn);
                      write_response(out, outcome);
                      if (outcome.outcome == commit_outcome::applied)
                      {
                          std::lock_guard const lock{this->mutex};
                          this->count.rows_written +=
                              static_cast<std::int64_t>(txn.writes.size());
                      }
                  });
    }

    void read_rows(Request const& in, Response& out)
    {
        with_body(in, out, wire::decode_keys,
                  [&](std::vector<std::string> const& keys) {
                      out.set_content(wire::encode_rows(this->table.read(keys)),
                                      json_type);
                  });
    }

    void scan(Request const& in, Response& out)
    {
        with_body(in, out, wire::decode_scan,
                  [&](wire::scan_request const& wanted)
                  {
                      auto const found = this->table.scan(
                          wanted.prefix, wanted.after, wanted.limit);
                      out.set_content(wire::encode_rows(found), json_type);
                  });
    }

    void put_object(Request const& in, Response& out)
    {
        write_response(out,
                       this->table.put_object(in.matches[1].str(), in.body));
    }

    void get_object(Request const& in, Response& out)
    {
        auto const name = in.matches[1].str();
        auto const content = this->table.get_object(name);
        if (!content)
        {
            write_rejection(out, error_kind::not_found, "no object " + name);
            return;
        }
        out.set_content(*content, "application/octet-stream");
    }

    void list_vms(Request const& in, Response& out)
    {
        this->call("list_vms", this->read_limit, this->count.reads, in, out,
                   [&](duration more_lag)
                   {
                       auto const seen =
                           this->now.now() - this->settings.list_lag - more_lag;
                       std::lock_guard const lock{this->mutex};
                       out.set_content(wire::encode_vms(this->vms.at(seen)),
                                       json_type);
                   });
    }

    bool change_vms(std::string const& name,
                    std::optional<listed_vm> const& added)
    {
        std::lock_guard const lock{this->mutex};
        return this->vms.change(this->now.now(), name, added);
    }

    void upsert(listed_vm const& changed, Response& out)
    {
        this->change_vms(changed.vm, changed);
        out.set_content(wire::encode_applied(), json_type);
    }

    void remove(std::string const& name, Response& out)
    {
        if (!this->change_vms(name, std::nullopt))
        {
            write_rejection(out, error_kind::not_found, "no VM " + name);
            return;
        }
        out.set_content(wire::encode_applied(), json_type);
    }

    void plan(Request const& in, Response& out)
    {
        auto const wanted = nlohmann::json::parse(in.body, nullptr, false);
        auto const found = this->faults.add(wanted, this->now.now());
        if (!found.empty())
        {
            write_rejection(out, found);
            return;
        }
        out.set_content(wire::encode_applied(), json_type);
    }

    store_emulator_settings const settings;
    caperpath::clock const now;
    memory_table table;
    http::fault_plan faults{vocabulary};
    std::mutex mutex; // guards the members below except the server
    std::condition_variable wake;
    bool stopping{false};
    counters count;
    token_bucket write_limit;
    token_bucket read_limit;
    vm_history vms;
    http::server server{server_limits()};
};

store_emulator::store_emulator(store_emulator_settings const& settings,
                               caperpath::clock const& now)
    : self{std::make_unique<implementation>(settings, now)}
{
}

store_emulator::~store_emulator()
{
    this->stop();
}

std::string store_emulator::start()
{
    return this->self->start();
}

void store_emulator::stop()
{
    this->self->stop();
}

} // namespace caperpath::store
