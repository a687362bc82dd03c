#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace ibishinge {

/// One thing wrong with a document.
struct document_problem
{
    std::string pointer; ///< JSON pointer (RFC 6901); "" is the whole document
    std::string found;
    std::string allowed;

    friend bool operator==(const document_problem &, const document_problem &) = default;
};

/// A value read from a document, or everything that is wrong with the document.
template <class T>
using document_result = tl::expected<T, std::vector<document_problem>>;

/// Returns "pointer: found ..., expected ..." of all problems, separated by "; ". Thread-safe.
[[nodiscard]] std::string describe(const std::vector<document_problem> &problems);

/// Parses `text` as JSON. Reports a field that occurs twice in one object, of which the parser
/// would keep only the last. Thread-safe.
[[nodiscard]] document_result<nlohmann::json> parseDocument(std::string_view text);

/// Reads the fields of one object of a document and collects what is wrong with them. A field that
/// is missing or wrong reads as a default value, so that the rest can still be checked.
///
/// \code
/// std::vector<document_problem> problems;
/// object_reader reader(json, "/teams/0", problems);
/// const auto limit = reader.integer("upper_limit", 0, 1000000);
/// reader.finish();
/// \endcode
class object_reader
{
public:
    /// Precondition: `object` and `problems` outlive the reader.
    object_reader(const nlohmann::json &object, std::string pointer,
                  std::vector<document_problem> &problems);

    [[nodiscard]] std::int64_t integer(const std::string &name, std::int64_t minimum,
                                       std::int64_t maximum);
    /// Reads a number with `low` < number <= `high`, or < `high` if `openAbove`.
    [[nodiscard]] double number(const std::string &name, double low, double high,
                                bool openAbove = false);
    [[nodiscard]] bool flag(const std::string &name, bool defaultValue);
    /// Reads a text of 1 to `maxLength` bytes.
    [[nodiscard]] std::string text(const std::string &name, std::size_t maxLength);
    /// Reads a name as `isValidName` allows it.
    [[nodiscard]] std::string name(const std::string &field);
    /// Reads one of `options` and returns its index.
    [[nodiscard]] std::size_t choice(const std::string &name,
                                     const std::vector<std::string> &options);
    /// Returns the array called `name`; an empty one if it is missing or of another type.
    [[nodiscard]] const nlohmann::json &array(const std::string &name);
    /// Returns the value called `name`, or null without a problem if it is absent.
    [[nodiscard]] const nlohmann::json *optional(const std::string &name);
    /// Returns the value called `name`, or null with a problem if it is absent.
    [[nodiscard]] const nlohmann::json *required(const std::string &name,
                                                 const std::string &allowed);

    [[nodiscard]] std::string pointerTo(const std::string &name) const;
    void report(const std::string &pointer, std::string found, std::string allowed);

    /// Reports the fields that were not asked for.
    void finish();

private:
    const nlohmann::json *m_object;
    std::string m_pointer;
    std::vector<document_problem> *m_problems;
    std::set<std::string> m_known;
};

} // namespace ibishinge
