#include "gateway/core.hpp"

#include "gateway/nonthrowing_port.hpp"

#include <string>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Number of shared prompt prefixes to remember.
constexpr std::size_t max_remembered_prefixes = 20'000;

std::string peer_address_of(settings const& from)
{
    auto const ip = from.callers.substr(0, from.callers.rfind(':'));
    return ip + ":" + std::to_string(from.first_peer_port);
}

} // namespace

core::core(asio::any_io_executor const& loop, gateway::settings const& settings,
           protocol_adapter adapter, store::async_port const& store,
           incarnation_id incarnation, int log_descriptor)
    : loop{loop}, settings{settings}, peer_address{peer_address_of(settings)},
      adapter{std::move(adapter)}, store_port{make_nonthrowing_port(store,
                                                                    loop)},
      log{loop, log_descriptor, settings.vm}, prompts{max_remembered_prefixes},
      retries{settings.retries}, peers{loop, this->peer_address, this->log},
      membership{loop,
                 this->store_port,
                 incarnation,
                 this->peer_address,
                 settings.retries.window,
                 this->log},
      budgets{loop,
              this->store_port,
              settings.vm,
              settings.callers,
              std::move(incarnation),
              this->peer_address,
              [this](std::string const& to, std::string const& bytes)
              { this->peers.send(to, bytes); },
              this->log},
      pool{[this]
           {
               this->uplink = fleet::note_connect_result(this->uplink, true,
                                                         this->now.now());
           }},
      relays{loop, this->peer_address, this->log}, connector{loop,
                                                             this->servers,
                                                             this->pool,
                                                             this->relays,
                                                             this->uplink,
                                                             this->log},
      crashes{loop, this->store_port, fleet::stable_hash(settings.vm),
              [this](crash_row_values const& values)
              { this->send_to_routers(encode_crash_rows(values)); },
              this->log},
      crash_checks{loop, this->connector},
      streams{loop,
              [this](std::string const& to, std::string const& bytes)
              { this->peers.send(to, bytes); },
              this->store_port,
              settings.vm,
              settings.store_writes_per_s,
              this->log},
      send_limits{loop, this->peer_address,
                  [this](std::string const& to, std::string const& bytes)
                  { this->peers.send(to, bytes); },
                  this->log},
      rejections{loop, this->peer_address,
                 [this](std::string const& to, std::string const& bytes)
                 { this->peers.send(to, bytes); },
                 this->log},
      probations{loop, this->peer_address,
                 [this](std::string const& to, std::string const& bytes)
                 { this->peers.send(to, bytes); },
                 this->log}
{
    this->servers.regions = settings.regions;
    this->servers.warm_up_bounds = settings.warm_up;
    this->servers.router_salt = fleet::stable_hash(settings.vm);
}

void core::send_to_routers(std::vector<std::string> const& datagrams)
{
    for (auto const& router : this->send_limits.routers())
    {
        if (router == this->peer_address)
        {
            continue;
        }
        for (auto const& bytes : datagrams)
        {
            this->peers.send(router, bytes);
        }
    }
}

} // namespace caperpath::gateway
