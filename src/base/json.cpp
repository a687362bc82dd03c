#include <ibishinge/base/json.h>

#include <cstdint>

template class nlohmann::basic_json<>;

namespace ibishinge {

namespace {

using nlohmann::json;

/// Messages between processes are nested about six levels deep.
constexpr int deepestNesting = 32;

/// Reads a value without keeping it and stops where it is nested too deep.
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
        return ++m_depth <= deepestNesting;
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
        return ++m_depth <= deepestNesting;
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
};

} // namespace

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
