#include <ibishinge/ctl/text_table.h>

#include <algorithm>
#include <cstddef>

namespace ibishinge {

namespace {

constexpr std::size_t columnGap = 2;
constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

std::string printable(std::string text)
{
    std::replace_if(
        text.begin(), text.end(),
        [](char c) {
            const auto byte = static_cast<unsigned char>(c);
            return byte < firstPrintable || byte == deleteCharacter;
        },
        '?');
    return text;
}

} // namespace

std::string formatTable(const table_row &heading, const std::vector<table_row> &rows)
{
    std::vector<table_row> all {heading};
    all.insert(all.end(), rows.begin(), rows.end());
    std::vector<std::size_t> widths(heading.size(), 0);
    for (auto &row : all) {
        row.resize(heading.size());
        for (std::size_t i = 0; i < row.size(); ++i) {
            row[i] = printable(std::move(row[i]));
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto &row : all) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + columnGap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace ibishinge
