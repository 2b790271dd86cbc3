// JSON encoding of usage reports in the messages between hosts.
#ifndef DOTTERELLEAD_FLEET_USAGE_CODEC_H_
#define DOTTERELLEAD_FLEET_USAGE_CODEC_H_

#include <vector>

#include "dotterellead/json.h"
#include "dotterellead/usage.h"

namespace dotterellead::fleet {

// An array: first the names of customers, then one array for each report with
// host, incarnation, window, and pairs of a customer's index and count. Names
// are written once, since the reports of a whole data centre cross to another.
Json::Value FromUsage(const std::vector<usage::host_report>& reports);
// Throws protocol_error.
std::vector<usage::host_report> ToUsage(const Json::Value& json);

}  // namespace dotterellead::fleet

#endif  // DOTTERELLEAD_FLEET_USAGE_CODEC_H_
