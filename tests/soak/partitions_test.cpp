#include "soak/soak_main.hpp"

// Guards against routers that reject their callers while they are partitioned
// from servers that other routers reach.

int main(int argc, char** argv)
{
    return caperpath::soak::run_soak(
        argc, argv,
        "Cuts router processes off from servers in overlapping series and "
        "checks that their callers are served as by the other routers.",
        {20'261'203, {}, 6, 32, CAPERPATH_GATEWAY, {}, false, true});
}
