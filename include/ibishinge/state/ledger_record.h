#pragma once

#include <ibishinge/base/error.h>
#include <ibishinge/decision/ledger.h>

#include <string>
#include <string_view>

namespace ibishinge {

/// Returns the key `request/<team>/<id>`. Precondition: both are valid names (no slash).
/// Thread-safe.
[[nodiscard]] std::string ledgerKey(std::string_view team, std::string_view requestId);

/// Returns the record as JSON; the body of the answer is in Base64, since it may hold any bytes.
/// Thread-safe.
[[nodiscard]] std::string encodeLedgerRecord(const ledger_record &record);

/// Reads what `encodeLedgerRecord` wrote. Missing, unknown or mistyped members are errors, so that
/// a record of another format is never taken for a release. Errors: `internal` with `place` and the
/// JSON pointer. Thread-safe.
[[nodiscard]] result<ledger_record> decodeLedgerRecord(const std::string &place,
                                                       std::string_view text);

} // namespace ibishinge
