#include "forward_codec.h"

#include <fmt/core.h>

#include <algorithm>
#include <charconv>
#include <map>

namespace dotterellead {
namespace {

constexpr std::string_view kEnvelopeHeader = "dotterellead-forward";
constexpr std::size_t kMaxExcluded = 16;

using pairs = std::map<std::string, std::string, std::less<>>;

bool IsPlain(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z') || c == '.' || c == ':' || c == '-' || c == '_';
}

std::string Escape(std::string_view text) {
  std::string out;
  for (const char c : text) {
    if (IsPlain(c))
      out += c;
    else
      out += fmt::format("%{:02x}", static_cast<unsigned char>(c));
  }
  return out;
}

std::optional<std::string> Unescape(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (IsPlain(text[i])) {
      out += text[i];
      continue;
    }
    unsigned value = 0;
    const char* digits = text.data() + i + 1;
    if (text[i] != '%' || i + 2 >= text.size() ||
        std::from_chars(digits, digits + 2, value, 16).ptr != digits + 2) {
      return std::nullopt;
    }
    out += static_cast<char>(value);
    i += 2;
  }
  return out;
}

void Put(std::string& out, std::string_view key, std::string_view escaped) {
  if (!escaped.empty())
    out += fmt::format("{}{}={}", out.empty() ? "" : ";", key, escaped);
}

template <class Visit>
bool ForEachPart(std::string_view text, char separator, Visit visit) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(separator), text.size());
    if (!visit(text.substr(0, end)))
      return false;
    text.remove_prefix(std::min(end + 1, text.size()));
  }
  return true;
}

// The pairs of the only envelope in `headers`, values still escaped. Unknown
// keys are kept, so that a later version may add some.
std::optional<pairs> ReadPairs(const http_headers& headers) {
  const std::string* text = nullptr;
  for (const http_header& header : headers) {
    if (FindHeader({header}, kEnvelopeHeader) == nullptr)
      continue;
    if (text != nullptr)
      return std::nullopt;
    text = &header.value;
  }
  if (text == nullptr)
    return std::nullopt;
  pairs found;
  const bool ok = ForEachPart(*text, ';', [&](std::string_view pair) {
    const std::size_t equals = pair.find('=');
    return equals != std::string_view::npos &&
           found.emplace(pair.substr(0, equals), pair.substr(equals + 1))
               .second;
  });
  return ok ? std::optional(std::move(found)) : std::nullopt;
}

// Reads values by key; `ok` is false after the first malformed one.
class reader {
 public:
  explicit reader(const pairs& from) : from_(from) {}

  // An absent value is empty.
  std::string Text(std::string_view key) { return Plain(Raw(key)); }

  std::uint64_t Number(std::string_view key, std::uint64_t highest) {
    const std::string_view text = Raw(key);
    std::uint64_t value = 0;
    const char* end = text.data() + text.size();
    const auto [parsed, problem] = std::from_chars(text.data(), end, value);
    ok = ok && problem == std::errc() && parsed == end && value <= highest;
    return value;
  }

  std::vector<server_id> Servers(std::string_view key) {
    std::vector<server_id> servers;
    ForEachPart(Raw(key), ',', [&](std::string_view part) {
      servers.emplace_back(Plain(part));
      return true;
    });
    ok = ok && servers.size() <= kMaxExcluded;
    return servers;
  }

  bool ok = true;

 private:
  std::string_view Raw(std::string_view key) const {
    const auto it = from_.find(key);
    return it == from_.end() ? std::string_view() : it->second;
  }

  std::string Plain(std::string_view escaped) {
    const std::optional<std::string> text = Unescape(escaped);
    ok = ok && text.has_value();
    return text.value_or("");
  }

  const pairs& from_;
};

std::optional<run_state> RunStateOf(std::string_view text) {
  for (const run_state run :
       {run_state::kNotRun, run_state::kDone, run_state::kUnknown}) {
    if (to_string(run) == text)
      return run;
  }
  return std::nullopt;
}

}  // namespace

http_header EncodeForward(const forward_request& m) {
  std::string excluded;
  for (const server_id& server : m.excluded)
    excluded += (excluded.empty() ? "" : ",") + Escape(server.value());
  std::string text;
  Put(text, "pool", Escape(m.pool.value()));
  Put(text, "tenant", Escape(m.tenant.value()));
  Put(text, "version", Escape(m.version.value()));
  Put(text, "excluded", excluded);
  Put(text, "left_us", std::to_string(m.left.count()));
  Put(text, "wait", m.may_wait ? "1" : "0");
  return {std::string(kEnvelopeHeader), text};
}

http_header EncodeForward(const forward_answer& m) {
  std::string text;
  Put(text, "run", to_string(m.run));
  Put(text, "reason", Escape(m.reason));
  Put(text, "server", Escape(m.server.value()));
  Put(text, "version", Escape(m.version.value()));
  Put(text, "backend_us", std::to_string(m.at_backend.count()));
  Put(text, "busy", std::to_string(m.load.busy));
  Put(text, "usable", std::to_string(m.load.usable));
  Put(text, "refuses", m.refuses_connections ? "1" : "0");
  return {std::string(kEnvelopeHeader), text};
}

std::optional<forward_request> DecodeForwardRequest(
    const http_headers& headers) {
  constexpr std::uint64_t kMaxLeftUs =
      std::chrono::duration_cast<microseconds>(limits::kMaxRequestTimeout)
          .count();
  const std::optional<pairs> found = ReadPairs(headers);
  if (!found)
    return std::nullopt;
  reader r(*found);
  forward_request m{.pool = pool_id(r.Text("pool")),
                    .tenant = tenant_id(r.Text("tenant")),
                    .version = version_id(r.Text("version")),
                    .excluded = r.Servers("excluded"),
                    .left = microseconds(r.Number("left_us", kMaxLeftUs)),
                    .may_wait = r.Number("wait", 1) == 1};
  if (!r.ok || !m.pool.is_valid())
    return std::nullopt;
  return m;
}

std::optional<forward_answer> DecodeForwardAnswer(const http_headers& headers) {
  const std::optional<pairs> found = ReadPairs(headers);
  if (!found)
    return std::nullopt;
  reader r(*found);
  const std::optional<run_state> run = RunStateOf(r.Text("run"));
  forward_answer m{
      .run = run.value_or(run_state::kUnknown),
      .reason = r.Text("reason"),
      .server = server_id(r.Text("server")),
      .version = version_id(r.Text("version")),
      .at_backend = microseconds(r.Number("backend_us", INT64_MAX)),
      .load = {static_cast<std::uint32_t>(r.Number("busy", UINT32_MAX)),
               static_cast<std::uint32_t>(r.Number("usable", UINT32_MAX))},
      .refuses_connections = r.Number("refuses", 1) == 1};
  if (!r.ok || !run || (*run == run_state::kDone && !m.server.is_valid()))
    return std::nullopt;
  return m;
}

bool HasForwardEnvelope(const http_headers& headers) {
  return FindHeader(headers, kEnvelopeHeader) != nullptr;
}

void RemoveForwardHeaders(http_headers& headers) {
  std::erase_if(headers, [](const http_header& header) {
    return FindHeader({header}, kEnvelopeHeader) != nullptr ||
           FindHeader({header}, kForwardProofHeader) != nullptr;
  });
}

}  // namespace dotterellead
