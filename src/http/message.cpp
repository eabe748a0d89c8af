#include "http/message.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace pipitpond::http {

const std::string& header_value(const std::vector<Header>& headers, const std::string& name) {
  static const std::string kNone;
  for (const Header& header : headers) {
    if (boost::algorithm::iequals(header.name, name)) {
      return header.value;
    }
  }
  return kNone;
}

}  // namespace pipitpond::http
