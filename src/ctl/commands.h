#pragma once

#include <ibishinge/ctl/command.h>

#include <nlohmann/json.hpp>

#include <string>

/// The commands of `ibishingectl`; each returns what to print.
namespace ibishinge::impl {

command_outcome catalogueGet(const command_context &context, const std::string &version);
command_outcome catalogueCheck(const command_context &context, const std::string &file);
command_outcome catalogueDiff(const command_context &context, const std::string &file);
command_outcome catalogueApply(const command_context &context, const std::string &file);
command_outcome catalogueHistory(const command_context &context, const std::string &operand);
command_outcome keyGive(const command_context &context, const std::string &team);
command_outcome keyWithdraw(const command_context &context, const std::string &id);
command_outcome keyList(const command_context &context, const std::string &operand);
command_outcome showStatus(const command_context &context, const std::string &operand);
command_outcome hostList(const command_context &context, const std::string &operand);
command_outcome hostShow(const command_context &context, const std::string &id);
command_outcome showTeam(const command_context &context, const std::string &name);
command_outcome showQueue(const command_context &context, const std::string &name);
command_outcome showPool(const command_context &context, const std::string &name);
command_outcome reportBurn(const command_context &context, const std::string &operand);
command_outcome explain(const command_context &context, const std::string &kind);

/// What an entry process answered: the document of a success, or how the command ends.
struct api_answer
{
    nlohmann::json body;
    command_outcome failure; ///< status `ok` on success
    [[nodiscard]] bool ok() const noexcept
    {
        return failure.status == exit_status::ok;
    }
};

/// Interprets a response or the lack of one.
api_answer interpret(const command_context &context, const result<http_response> &response,
                     bool isChange);

/// Calls the API and interprets the answer; anything but `GET` counts as a change.
api_answer callApi(const command_context &context, const http_request &request);

/// Returns `document` as JSON text.
std::string dumpJson(const nlohmann::json &document);

/// Returns a scalar or list as a table cell.
std::string cellOf(const nlohmann::json &value);

} // namespace ibishinge::impl
