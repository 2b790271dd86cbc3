// What the stand-ins share: behaviour that POST /.control sets by name, and
// JSON answers.
#ifndef DOTTERELLEAD_TESTS_CONTROL_H_
#define DOTTERELLEAD_TESTS_CONTROL_H_

#include <json/json.h>

#include <string>

#include "dotterellead/http.h"
#include "dotterellead/json.h"

namespace dotterellead {

template <class Behaviour, class Value>
struct control_field {
  const char* name;
  Value Behaviour::*member;
};

// Throws invalid_input_error unless `text` is JSON.
inline Json::Value ParseText(const std::string& text) {
  std::string problem;
  const std::optional<Json::Value> json = ParseJson(text, &problem);
  if (!json)
    throw invalid_input_error("not JSON: " + problem, "send a JSON object");
  return *json;
}

// Sets the fields that `json` names.
template <class Behaviour, class Value, std::size_t Count>
void UpdateFields(Behaviour& b,
                  const control_field<Behaviour, Value> (&fields)[Count],
                  const Json::Value& json) {
  for (const control_field<Behaviour, Value>& f : fields) {
    if (json.isMember(f.name))
      b.*f.member = json[f.name].template as<Value>();
  }
}

inline http_answer JsonAnswer(const Json::Value& json, int status = 200) {
  return {status, {{"Content-Type", "application/json"}}, FormatJson(json)};
}

}  // namespace dotterellead

#endif  // DOTTERELLEAD_TESTS_CONTROL_H_
