#include "soak/soak_main.hpp"

// Guards against prompts with one part that crash servers of several routers,
// one after the other, while routers restart and the store comes and goes.

int main(int argc, char** argv)
{
    return caperpath::soak::run_soak(
        argc, argv,
        "Sends prompts with a part that crashes servers to routers that "
        "restart in overlapping series, and checks that they are rejected.",
        {20'261'204, {}, 6, 32, CAPERPATH_GATEWAY, {}, false, false, true});
}
