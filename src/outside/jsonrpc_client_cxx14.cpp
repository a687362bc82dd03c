#include <ibishinge/outside/jsonrpc_call.h>

#include <jsonrpccpp/client.h>

#include <memory>

namespace ibishinge {

namespace {

class transport_connector final : public jsonrpc::IClientConnector
{
public:
    explicit transport_connector(jsonrpc_transport &transport)
        : m_transport(transport)
    {
    }
    void SendRPCMessage(const std::string &message,
                        std::string &result) throw(jsonrpc::JsonRpcException) override
    {
        if (!m_transport.exchangeText(message, result)) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, "no response");
        }
    }

private:
    jsonrpc_transport &m_transport;
};

bool parse(const std::string &text, Json::Value &value)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string errors;
    return reader->parse(text.data(), text.data() + text.size(), &value, &errors);
}

std::string toText(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

} // namespace

jsonrpc_outcome callJsonrpc(jsonrpc_transport &transport, const std::string &method,
                            const std::string &parameters)
{
    jsonrpc_outcome outcome;
    Json::Value input;
    if (!parse(parameters, input)) {
        outcome.state = jsonrpc_outcome::status::rejected;
        outcome.text = "parameters are not JSON";
        return outcome;
    }
    try {
        transport_connector connector(transport);
        jsonrpc::Client client(connector);
        outcome.text = toText(client.CallMethod(method, input));
        outcome.state = jsonrpc_outcome::status::answered;
    } catch (const jsonrpc::JsonRpcException &e) {
        outcome.state = e.GetCode() == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR
                            ? jsonrpc_outcome::status::not_carried
                            : jsonrpc_outcome::status::rejected;
        outcome.text = e.what();
    } catch (const std::exception &e) {
        // jsoncpp throws its own types for values of an unexpected shape.
        outcome.state = jsonrpc_outcome::status::rejected;
        outcome.text = e.what();
    }
    return outcome;
}

} // namespace ibishinge
