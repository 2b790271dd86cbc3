#include "peer_rpc.h"
#include "dotterellead/json.h"

#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

namespace dotterellead {
namespace {

std::string ToText(const Json::Value& value) {
  return FormatJson(value);
}

bool ParseText(const std::string& text, Json::Value& value) {
  std::optional<Json::Value> json = ParseJson(text);
  if (json)
    value = std::move(*json);
  return json.has_value();
}

// Passes a request of an HTTP listener to the library; `addInfo` points to the
// text that receives the response.
class http_connector : public jsonrpc::AbstractServerConnector {
 public:
  // The listener is started and stopped by its owner.
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* answer) override {
    *static_cast<std::string*>(answer) = response;
    return true;
  }
};

}  // namespace

std::string EncodeCall(std::uint64_t id,
                       const std::string& method,
                       const std::string& params) {
  std::string call = R"({"jsonrpc":"2.0","id":)";
  call += std::to_string(id);
  call += R"(,"method":)";
  call += Json::valueToQuotedString(method.c_str());
  if (!params.empty()) {
    call += R"(,"params":)";
    call += params;
  }
  call += '}';
  return call;
}

std::optional<std::string> DecodeResult(std::uint64_t id,
                                        const std::string& body) {
  Json::Value answer;
  if (!ParseText(body, answer) || !answer.isObject())
    return std::nullopt;
  const Json::Value& answered = answer["id"];
  if (!answered.isUInt64() || answered.asUInt64() != id)
    return std::nullopt;
  if (answer.isMember("error") || !answer.isMember("result"))
    return std::nullopt;
  return ToText(answer["result"]);
}

class rpc_dispatcher::impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  explicit impl(peer_methods methods)
      : methods_(std::move(methods)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    for (const auto& [name, method] : methods_) {
      protocol_->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                                 jsonrpc::JSON_OBJECT, NULL));
    }
    connector_.SetHandler(protocol_.get());
  }

  std::string Handle(const std::string& body) {
    std::string answer;
    connector_.OnRequest(body, &answer);
    return answer;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const peer_method& method = methods_.at(procedure.GetProcedureName());
    std::string result;
    try {
      result = method(input.isNull() ? std::string() : ToText(input));
    } catch (const error& problem) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      problem.what());
    }
    if (!result.empty() && !ParseText(result, output)) {
      throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INTERNAL_ERROR,
                                      "the method's result is not JSON");
    }
  }

  // All methods have a result, so no notifications are registered.
  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  const peer_methods methods_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
  http_connector connector_;
};

rpc_dispatcher::rpc_dispatcher(peer_methods methods)
    : impl_(std::make_unique<impl>(std::move(methods))) {}

rpc_dispatcher::~rpc_dispatcher() = default;

std::string rpc_dispatcher::Handle(const std::string& body) {
  return impl_->Handle(body);
}

std::string BearerValue(const std::string& secret) {
  return "Bearer " + secret;
}

}  // namespace dotterellead
