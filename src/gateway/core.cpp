#include "gateway/core.hpp"

#include <string>
#include <utility>

namespace caperpath::gateway
{

namespace
{

/// Number of shared prompt prefixes to remember.
constexpr std::size_t max_remembered_prefixes = 20'000;

std::string peer_address(settings const& from)
{
    auto const ip = from.callers.substr(0, from.callers.rfind(':'));
    return ip + ":" + std::to_string(from.first_peer_port);
}

} // namespace

core::core(asio::any_io_executor const& loop, gateway::settings const& settings,
           protocol_adapter adapter, store::async_port const& store,
           incarnation_id incarnation, int log_descriptor)
    : loop{loop}, settings{settings}, adapter{std::move(adapter)},
      log{loop, log_descriptor, settings.vm}, prompts{max_remembered_prefixes},
      retries{settings.retries}, peers{loop, peer_address(settings), this->log},
      membership{loop,
                 store,
                 incarnation,
                 peer_address(settings),
                 settings.retries.window,
                 this->log},
      budgets{loop,
              store,
              settings.vm,
              settings.callers,
              std::move(incarnation),
              peer_address(settings),
              [this](std::string const& to, std::string const& bytes)
              { this->peers.send(to, bytes); },
              this->log},
      pool{loop,
           [this](bool answered)
           {
               this->uplink = fleet::note_connect_result(this->uplink, answered,
                                                         this->now.now());
           }},
      crashes{loop, store, fleet::stable_hash(settings.vm), this->log},
      crash_checks{loop}
{
}

} // namespace caperpath::gateway
