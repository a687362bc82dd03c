#include <ibishinge/base/json.h>

#include <cstdint>

template class nlohmann::basic_json<>;

namespace ibishinge {

namespace {

using nlohmann::json;

/// Messages and documents are nested about six levels deep.
constexpr int deepestNesting = 32;

/// Each array or object takes up to 80 bytes of memory, and one byte of a message. No document with
/// so many fits into a body of the usual length, unless most of them are empty.
constexpr int mostContainers = 1 << 18;

/// Returns true if arrays and objects in `text` are nested too deep or too many.
bool isTooComplex(const std::string &text) noexcept
{
    int depth = 0;
    int containers = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (inString) {
            i += c == '\\' ? 1 : 0;
            inString = c != '"';
        } else if (c == '"') {
            inString = true;
        } else if (c == '[' || c == '{') {
            if (++depth > deepestNesting || ++containers > mostContainers) {
                return true;
            }
        } else if (c == ']' || c == '}') {
            --depth;
        }
    }
    return false;
}

[[noreturn]] void throwOutOfRange(const json &value)
{
    throw json::other_error::create(599, "number out of range: " + value.dump(), nullptr);
}

/// Reads a value without keeping it and stops where it is nested too deep or has too many parts.
class nesting_check final : public nlohmann::json_sax<json>
{
public:
    bool null() override
    {
        return true;
    }
    bool boolean(bool /*value*/) override
    {
        return true;
    }
    bool number_integer(number_integer_t /*value*/) override // NOLINT: the library's names
    {
        return true;
    }
    bool number_unsigned(number_unsigned_t /*value*/) override // NOLINT
    {
        return true;
    }
    bool number_float(number_float_t /*value*/, const string_t & /*text*/) override // NOLINT
    {
        return true;
    }
    bool string(string_t & /*value*/) override
    {
        return true;
    }
    bool binary(binary_t & /*value*/) override
    {
        return true;
    }
    bool start_object(std::size_t /*size*/) override // NOLINT
    {
        return ++m_depth <= deepestNesting && ++m_containers <= mostContainers;
    }
    bool key(string_t & /*value*/) override
    {
        return true;
    }
    bool end_object() override // NOLINT
    {
        --m_depth;
        return true;
    }
    bool start_array(std::size_t /*size*/) override // NOLINT
    {
        return ++m_depth <= deepestNesting && ++m_containers <= mostContainers;
    }
    bool end_array() override // NOLINT
    {
        --m_depth;
        return true;
    }
    bool parse_error(std::size_t /*position*/, const std::string & /*token*/, // NOLINT
                     const nlohmann::detail::exception & /*problem*/) override
    {
        return false;
    }

private:
    int m_depth = 0;
    int m_containers = 0;
};

} // namespace

json parseJson(const std::string &text)
{
    if (isTooComplex(text)) {
        throw json::other_error::create(
            599, "the document is nested too deep or has too many arrays and objects", nullptr);
    }
    return json::parse(text);
}

std::int64_t integerFrom(const json &value, integer_range range)
{
    if (value.is_number_unsigned()) {
        const auto number = value.get<std::uint64_t>();
        if (range.highest < 0 || number > static_cast<std::uint64_t>(range.highest)
            || static_cast<std::int64_t>(number) < range.lowest) {
            throwOutOfRange(value);
        }
        return static_cast<std::int64_t>(number);
    }
    if (value.is_number_integer()) {
        const auto number = value.get<std::int64_t>();
        if (number < range.lowest || number > range.highest) {
            throwOutOfRange(value);
        }
        return number;
    }
    // Doubles hold integers up to 2^53 exactly, and every range ends far below 2^63.
    const double number =
        realFrom(value, static_cast<double>(range.lowest), static_cast<double>(range.highest));
    return static_cast<std::int64_t>(number);
}

std::int64_t integerFrom(const json &object, const char *key, std::int64_t fallback,
                         integer_range range)
{
    const auto found = object.find(key);
    return found == object.end() ? fallback : integerFrom(*found, range);
}

double realFrom(const json &value, double lowest, double highest)
{
    if (!value.is_number()) {
        throw json::type_error::create(
            302, std::string("type must be number, but is ") + value.type_name(), nullptr);
    }
    const auto number = value.get<double>();
    if (!(number >= lowest && number <= highest)) {
        throwOutOfRange(value);
    }
    return number;
}

std::string encodeCbor(const json &value)
{
    std::string bytes;
    json::to_cbor(value, bytes);
    return bytes;
}

std::optional<json> decodeCbor(const std::string &bytes)
{
    nesting_check check;
    if (!json::sax_parse(bytes, &check, json::input_format_t::cbor)) {
        return std::nullopt;
    }
    auto value = json::from_cbor(bytes, true, false);
    return value.is_discarded() ? std::nullopt : std::optional(std::move(value));
}

} // namespace ibishinge
