#include <ibishinge/state/document_reader.h>

#include <ibishinge/base/name.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace ibishinge {

namespace {

using nlohmann::json;

/// Longest excerpt of a wrong value in a problem, in bytes.
constexpr std::size_t maxExcerpt = 80;

/// Deepest nesting of a document; the library writes values by recursion, so that deep ones would
/// exhaust the stack.
constexpr int maxDepth = 32;

std::string excerpt(const json &value)
{
    std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > maxExcerpt) {
        text.resize(maxExcerpt);
        text += "...";
    }
    return text;
}

std::string escapeToken(const std::string &token)
{
    std::string escaped;
    for (const char c : token) {
        escaped += c == '~' ? std::string("~0") : c == '/' ? std::string("~1") : std::string(1, c);
    }
    return escaped;
}

std::string toText(double value)
{
    std::array<char, 32> buffer {};
    const auto written = std::to_chars(buffer.data(), buffer.data() + buffer.size(), value);
    return {buffer.data(), written.ptr};
}

/// Watches the parser for fields that occur twice and for nesting beyond the bound.
class duplicate_finder
{
public:
    bool operator()(int depth, json::parse_event_t event, const json &parsed)
    {
        using event_t = json::parse_event_t;
        if (m_isTooDeep) {
            return false;
        }
        if (depth > maxDepth) {
            m_isTooDeep = true;
            m_problems.push_back({pointer(), "more than " + std::to_string(maxDepth) + " levels",
                                  "a document that is nested less deeply"});
            return false;
        }
        switch (event) {
        case event_t::object_start:
        case event_t::array_start:
            nextElement();
            m_frames.push_back({event == event_t::array_start, 0, "", {}});
            break;
        case event_t::object_end:
        case event_t::array_end:
            m_frames.pop_back();
            break;
        case event_t::key: {
            auto &object = m_frames.back();
            object.key = parsed.get<std::string>();
            if (!object.keys.insert(object.key).second) {
                m_problems.push_back({pointer(), "the field twice", "each field once"});
            }
            break;
        }
        case event_t::value:
            nextElement();
            break;
        }
        return true;
    }
    [[nodiscard]] const std::vector<document_problem> &problems() const
    {
        return m_problems;
    }

private:
    struct frame
    {
        bool isArray = false;
        std::size_t count = 0; ///< elements begun
        std::string key;
        std::set<std::string> keys;
    };

    void nextElement()
    {
        if (!m_frames.empty() && m_frames.back().isArray) {
            ++m_frames.back().count;
        }
    }
    [[nodiscard]] std::string pointer() const
    {
        std::string path;
        for (const auto &level : m_frames) {
            path +=
                "/" + (level.isArray ? std::to_string(level.count - 1) : escapeToken(level.key));
        }
        return path;
    }

    std::vector<frame> m_frames;
    bool m_isTooDeep = false;
    std::vector<document_problem> m_problems;
};

} // namespace

std::string describe(const std::vector<document_problem> &problems)
{
    std::string text;
    for (const auto &problem : problems) {
        text += (text.empty() ? "" : "; ") + problem.pointer + ": found " + problem.found
                + ", expected " + problem.allowed;
    }
    return text;
}

document_result<json> parseDocument(std::string_view text)
{
    duplicate_finder finder;
    try {
        json parsed =
            json::parse(text, [&finder](int depth, json::parse_event_t event, const json &value) {
                return finder(depth, event, value);
            });
        if (!finder.problems().empty()) {
            return tl::unexpected(finder.problems());
        }
        return parsed;
    } catch (const json::parse_error &e) {
        return tl::unexpected(std::vector<document_problem> {
            {"", "a syntax error at byte " + std::to_string(e.byte), "a JSON document"}});
    }
}

object_reader::object_reader(const json &object, std::string pointer,
                             std::vector<document_problem> &problems)
    : m_object(&object)
    , m_pointer(std::move(pointer))
    , m_problems(&problems)
{
    if (!object.is_object()) {
        report(m_pointer, excerpt(object), "an object");
        static const json empty = json::object();
        m_object = &empty;
    }
}

std::int64_t object_reader::integer(const std::string &name, std::int64_t minimum,
                                    std::int64_t maximum)
{
    const std::string allowed =
        "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const json *value = required(name, allowed);
    if (value == nullptr) {
        return minimum;
    }
    // Unsigned values above the signed range would wrap around when read as signed.
    const bool fits = value->is_number_unsigned()
                          ? value->get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX)
                          : value->is_number_integer();
    if (!fits || value->get<std::int64_t>() < minimum || value->get<std::int64_t>() > maximum) {
        report(pointerTo(name), excerpt(*value), allowed);
        return minimum;
    }
    return value->get<std::int64_t>();
}

double object_reader::number(const std::string &name, double low, double high, bool openAbove)
{
    const std::string allowed = "a number above " + toText(low)
                                + (openAbove ? " and below " : " and up to ") + toText(high);
    const json *value = required(name, allowed);
    if (value == nullptr) {
        return high;
    }
    const double read = value->is_number() ? value->get<double>() : low;
    if (!(read > low) || !(openAbove ? read < high : read <= high)) {
        report(pointerTo(name), excerpt(*value), allowed);
        return high;
    }
    return read;
}

bool object_reader::flag(const std::string &name, bool defaultValue)
{
    const json *value = optional(name);
    if (value == nullptr) {
        return defaultValue;
    }
    if (!value->is_boolean()) {
        report(pointerTo(name), excerpt(*value), "true or false");
        return defaultValue;
    }
    return value->get<bool>();
}

std::string object_reader::text(const std::string &name, std::size_t maxLength)
{
    const std::string allowed = "a text of 1 to " + std::to_string(maxLength) + " bytes";
    const json *value = required(name, allowed);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || value->get_ref<const std::string &>().empty()
        || value->get_ref<const std::string &>().size() > maxLength) {
        report(pointerTo(name), excerpt(*value), allowed);
        return {};
    }
    return value->get<std::string>();
}

std::string object_reader::name(const std::string &field)
{
    const std::string allowed =
        "1 to " + std::to_string(maxNameLength) + " characters of [A-Za-z0-9_-]";
    const json *value = required(field, allowed);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string() || !isValidName(value->get_ref<const std::string &>())) {
        report(pointerTo(field), excerpt(*value), allowed);
        return {};
    }
    return value->get<std::string>();
}

std::size_t object_reader::choice(const std::string &name, const std::vector<std::string> &options)
{
    std::string allowed;
    for (const auto &option : options) {
        allowed += (allowed.empty() ? "\"" : " or \"") + option + "\"";
    }
    const json *value = required(name, allowed);
    if (value == nullptr) {
        return 0;
    }
    const auto found = value->is_string() ? std::find(options.begin(), options.end(),
                                                      value->get_ref<const std::string &>())
                                          : options.end();
    if (found == options.end()) {
        report(pointerTo(name), excerpt(*value), allowed);
        return 0;
    }
    return static_cast<std::size_t>(found - options.begin());
}

const json &object_reader::array(const std::string &name)
{
    static const json empty = json::array();
    const json *value = required(name, "an array");
    if (value == nullptr) {
        return empty;
    }
    if (!value->is_array()) {
        report(pointerTo(name), excerpt(*value), "an array");
        return empty;
    }
    return *value;
}

const json *object_reader::optional(const std::string &name)
{
    m_known.insert(name);
    const auto found = m_object->find(name);
    return found == m_object->end() ? nullptr : &*found;
}

const json *object_reader::required(const std::string &name, const std::string &allowed)
{
    const json *value = optional(name);
    if (value == nullptr) {
        report(pointerTo(name), "nothing", allowed);
    }
    return value;
}

std::string object_reader::pointerTo(const std::string &name) const
{
    return m_pointer + "/" + escapeToken(name);
}

void object_reader::report(const std::string &pointer, std::string found, std::string allowed)
{
    m_problems->push_back({pointer, std::move(found), std::move(allowed)});
}

void object_reader::finish()
{
    std::string allowed;
    for (const auto &name : m_known) {
        allowed += (allowed.empty() ? "one of " : ", ") + name;
    }
    for (const auto &item : m_object->items()) {
        if (!m_known.contains(item.key())) {
            report(pointerTo(item.key()), "an unknown field", allowed);
        }
    }
}

} // namespace ibishinge
