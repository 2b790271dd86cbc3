// Reads the list of external names, for tests that compare it with a codec.
#ifndef TESTS_EXTERNAL_NAMES_LISTED_NAMES_H_
#define TESTS_EXTERNAL_NAMES_LISTED_NAMES_H_

#include <json/json.h>

#include <fstream>
#include <set>
#include <string>

namespace dotterellead {

// The names in backticks of the first paragraph of the section `title` of the
// file `path`. Paths, which begin with a slash, are left out.
inline std::set<std::string> ListedNames(const std::string& path,
                                         const std::string& title) {
  std::ifstream file(path);
  std::set<std::string> names;
  bool is_in_section = false;
  for (std::string line; std::getline(file, line);) {
    if (line.starts_with("## "))
      is_in_section = line == "## " + title;
    else if (line.empty() && !names.empty())
      break;
    for (std::size_t at = 0; is_in_section;) {
      const std::size_t begin = line.find('`', at);
      const std::size_t end =
          begin == std::string::npos ? begin : line.find('`', begin + 1);
      if (end == std::string::npos)
        break;
      const std::string name = line.substr(begin + 1, end - begin - 1);
      if (!name.starts_with('/'))
        names.insert(name);
      at = end + 1;
    }
  }
  return names;
}

// Adds the member names of all objects within `json`.
inline void CollectNames(const Json::Value& json,
                         std::set<std::string>& names) {
  if (json.isObject())
    for (const std::string& name : json.getMemberNames())
      names.insert(name);
  if (json.isObject() || json.isArray())
    for (const Json::Value& value : json)
      CollectNames(value, names);
}

}  // namespace dotterellead

#endif  // TESTS_EXTERNAL_NAMES_LISTED_NAMES_H_
