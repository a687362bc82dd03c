#include <ibishinge/state/host_record.h>

namespace ibishinge {

namespace {

const std::vector<std::string> stateNames {"in_service", "draining", "stopped"};

} // namespace

std::string encodeHostRecord(const host_record &record)
{
    return nlohmann::json {{"pool", record.pool},
                           {"state", stateNames[static_cast<std::size_t>(record.state)]}}
        .dump();
}

document_result<host_record> decodeHostRecord(std::string_view text)
{
    const auto document = parseDocument(text);
    if (!document) {
        return tl::unexpected(document.error());
    }
    std::vector<document_problem> problems;
    object_reader reader(*document, "", problems);
    host_record read;
    read.pool = reader.name("pool");
    read.state = static_cast<host_state>(reader.choice("state", stateNames));
    reader.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return read;
}

} // namespace ibishinge
