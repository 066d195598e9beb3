#include "soak/soak_main.hpp"

// Guards against streams that are cut, and routers that end, while large
// configurations fill their links in quick series, paths and callers are silent
// for seconds, and routers are killed.

int main(int argc, char** argv)
{
    caperpath::soak::soak_options options{20'261'204,        {}, 12, 60,
                                          CAPERPATH_GATEWAY, {}};
    options.configurations = true;
    options.link_bytes_per_ms = 1'250; // 10 Mbit/s
    options.longest_time_ms = 12'000;
    return caperpath::soak::run_soak(
        argc, argv,
        "Puts large configurations in quick series while callers read long "
        "streams, silences paths and callers, kills routers, and checks that "
        "each stream ends with its last event.",
        options);
}
