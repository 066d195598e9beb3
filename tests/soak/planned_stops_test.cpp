#include "soak/soak_main.hpp"

// Guards against lost, duplicated or truncated requests when routers restart in
// overlapping series while their callers keep sending.

int main(int argc, char** argv)
{
    return caperpath::soak::run_soak(
        argc, argv,
        "Stops and starts router processes in overlapping series and checks "
        "the guarantees given to their callers.",
        {20'261'203, {}, 4, 32, CAPERPATH_GATEWAY, {}, false});
}
