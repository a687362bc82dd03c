#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/allowance.h>

#include <string>
#include <string_view>

namespace ibishinge {

/// Prefix of the keys of allowance records.
inline constexpr std::string_view allowancePrefix = "allowance/";

/// Returns the JSON value of an allowance record. Thread-safe.
[[nodiscard]] std::string encodeAllowance(const allowance_record &record);

/// Parses the JSON value of an allowance record.
///
/// Errors: `invalid_request` with the JSON pointer of the first member that is missing, unknown, of
/// the wrong type or out of bounds. Thread-safe.
[[nodiscard]] result<allowance_record> decodeAllowance(std::string_view text);

} // namespace ibishinge
