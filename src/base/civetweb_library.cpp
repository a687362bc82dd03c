#include <ibishinge/base/civetweb_library.h>

#include <civetweb.h>

namespace ibishinge {

void initializeCivetweb()
{
    static const unsigned features = mg_init_library(0);
    static_cast<void>(features);
}

} // namespace ibishinge
