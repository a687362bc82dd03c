#include <ibishinge/base/json.h>

template class nlohmann::basic_json<>;
