#include "observe/command_line.hpp"
#include "observe/termination.hpp"
#include "store/store_emulator.hpp"

#include <nlohmann/json.hpp>

#include <iostream>

using namespace caperpath;

namespace
{

constexpr int exit_cannot_listen = 1;

int serve(store::store_emulator_settings const& settings)
{
    observe::termination_signal const termination;
    store::store_emulator server{settings};
    auto const address = server.start();
    if (address.empty())
    {
        std::cerr << "/listen: cannot bind " << settings.listen << '\n';
        return exit_cannot_listen;
    }
    std::cout << nlohmann::json{{"listening", address}} << std::endl;
    termination.wait();
    server.stop();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    return observe::run_program<store::store_emulator_settings>(
        {"caperpath-platform",
         "Emulator of the platform: table, objects and VM list in memory."},
        argc, argv, store::read_store_emulator_settings, serve);
}
