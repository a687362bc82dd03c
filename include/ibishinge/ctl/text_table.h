#pragma once

#include <string>
#include <vector>

namespace ibishinge {

using table_row = std::vector<std::string>;

/// Returns the rows below the heading, in columns as wide as their widest cell. Control characters
/// in cells are shown as `?`, so that no name can change the terminal's state. Thread-safe.
[[nodiscard]] std::string formatTable(const table_row &heading, const std::vector<table_row> &rows);

} // namespace ibishinge
