#pragma once

#include <nlohmann/json.hpp>

// Instantiated once, in json.cpp: compiling its members in every file took half of the build's
// time.
extern template class nlohmann::basic_json<>;
